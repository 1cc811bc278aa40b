//! Regenerates the seeded traces of this repository.

use std::path::Path;

use sesamewind_replay::generate;

fn main() -> std::io::Result<()> {
    let directory = std::env::args().nth(1).unwrap_or_else(|| "traces".to_owned());
    for workload in [generate::bomba(), generate::derwent()] {
        let path = Path::new(&directory).join(workload.file);
        std::fs::write(&path, generate::trace(&workload))?;
        println!("wrote {}", path.display());
    }
    Ok(())
}
