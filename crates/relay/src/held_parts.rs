//! Saves the prompt parts whose requests are refused, for instances that start and for those that
//! others can't reach.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::driver::Driver;
use crate::source::Source;

/// Interval at which changes are saved.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which saved parts are read while peers are silent.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Pause after a part could not be saved.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Saves parts, and reads those that others have saved while peers are silent.
pub(crate) async fn exchange(driver: Rc<Driver>, source: Rc<dyn Source>) {
    let mut read = driver.now();
    loop {
        sleep(SAVE_INTERVAL).await;
        let now = driver.now();
        for (part, saved) in driver.with_gateway_mut(|gateway| gateway.parts_to_save(now)) {
            if let Err(err) = source.save_part(part, saved.as_ref()).await {
                log::warn!(
                    event = "part_not_saved", part:%, cause:% = err;
                    "state of a prompt part could not be saved"
                );
                driver.with_gateway_mut(|gateway| gateway.retry_part(part));
                sleep(RETRY_PAUSE).await;
            }
        }
        let is_needed = driver.with_gateway(|gateway| gateway.needs_saved_parts(now));
        if is_needed && now.since(read) >= READ_INTERVAL {
            read = now;
            restore(&driver, source.as_ref()).await;
        }
    }
}

/// Reads the saved parts.
pub(crate) async fn restore(driver: &Driver, source: &dyn Source) {
    match source.saved_parts().await {
        Ok(saved) if saved.is_empty() => {}
        Ok(saved) => {
            let now = driver.now();
            driver.with_gateway_mut(|gateway| gateway.restore_parts(&saved, now));
            log::info!(event = "parts_restored", parts = saved.len(); "held prompt parts restored");
        }
        Err(err) => log::warn!(
            event = "parts_not_restored", cause:% = err;
            "held prompt parts could not be restored"
        ),
    }
}
