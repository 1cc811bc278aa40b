//! Tests of leases over a fake table service.

use std::time::Duration;

use bolero::{TypeGenerator, check, produce};
use sesamewind_membership::{Holder, LeaseAnswer, LeaseCall, LeaseManager, LeaseRow, LeaseTiming};
use sesamewind_protocol::{Incarnation, InstanceId, Time};

/// How a call to the table service is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The call takes effect and its answer arrives.
    Done,
    /// The call takes effect; its answer is lost.
    AnswerLost,
    /// The call has no effect; the caller gets no answer.
    CallLost,
    /// The service reports that the call had no effect.
    Down,
    /// The call takes effect after some time; its answer is lost.
    Late,
}

/// One row of the table service.
#[derive(Debug, Default)]
struct Table {
    revision: u64,
    row: Option<LeaseRow>,
    late: Vec<LeaseCall>,
}

impl Table {
    fn deliver(&mut self, call: &LeaseCall, delivery: Delivery) -> LeaseAnswer {
        let lost = match call {
            LeaseCall::Read { .. } => LeaseAnswer::Unavailable,
            LeaseCall::Write { .. } => LeaseAnswer::Unknown,
        };
        match delivery {
            Delivery::Done => return self.run(call),
            Delivery::Down => return LeaseAnswer::Unavailable,
            Delivery::AnswerLost => drop(self.run(call)),
            Delivery::Late => self.late.push(call.clone()),
            Delivery::CallLost => {}
        }
        lost
    }

    fn run(&mut self, call: &LeaseCall) -> LeaseAnswer {
        if let LeaseCall::Write { expected, row, .. } = call
            && *expected == self.revision
        {
            let before = self.row.as_ref().map_or(0, |row| row.fence);
            assert!(row.fence >= before, "the fencing number decreases from {before}");
            self.revision += 1;
            self.row = Some(row.clone());
            return LeaseAnswer::Stored { revision: self.revision };
        }
        match &self.row {
            Some(row) => LeaseAnswer::Row { revision: self.revision, row: row.clone() },
            None => LeaseAnswer::Absent,
        }
    }

    fn deliver_late(&mut self) {
        for call in std::mem::take(&mut self.late) {
            self.run(&call);
        }
    }
}

fn holder(name: &str, incarnation: u64) -> Holder {
    Holder { instance: InstanceId::new(name), incarnation: Incarnation(incarnation) }
}

fn manager(name: &str) -> LeaseManager {
    LeaseManager::new("steward", holder(name, 1), LeaseTiming::default())
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Runs `manager` from `from` to `to`, in milliseconds, in steps of 100 ms.
fn run(manager: &mut LeaseManager, table: &mut Table, from: u64, to: u64, delivery: Delivery) {
    for millis in (from..to).step_by(100) {
        if let Some(call) = manager.tick(at(millis)) {
            let answer = table.deliver(&call, delivery);
            manager.on_result(&call, answer, at(millis + 20));
        }
    }
}

fn fence(manager: &LeaseManager, millis: u64) -> Option<u64> {
    manager.grant(at(millis)).map(|grant| grant.fence)
}

#[test]
fn a_free_lease_is_acquired_and_renewed() {
    let (mut a, mut table) = (manager("a"), Table::default());
    assert_eq!(a.key(), "lease.steward");
    run(&mut a, &mut table, 0, 60_000, Delivery::Done);
    assert_eq!(fence(&a, 60_000), Some(1));
    let renewals = table.revision - 1;
    assert!((18..=21).contains(&renewals), "{renewals} renewals in a minute");
}

#[test]
fn others_wait_until_the_row_was_unchanged_for_its_length() {
    let (mut a, mut b, mut table) = (manager("a"), manager("b"), Table::default());
    run(&mut a, &mut table, 0, 1_000, Delivery::Done);
    // While the holder renews, the other does not take over.
    for second in 1..40 {
        run(&mut a, &mut table, second * 1_000, second * 1_000 + 1_000, Delivery::Done);
        run(&mut b, &mut table, second * 1_000, second * 1_000 + 1_000, Delivery::Done);
        assert_eq!(fence(&b, second * 1_000), None);
    }
    // The holder is paused from here on.
    let last = table.revision;
    run(&mut b, &mut table, 40_000, 48_000, Delivery::Done);
    assert_eq!(table.revision, last, "the other took over too early");
    run(&mut b, &mut table, 48_000, 54_000, Delivery::Done);
    assert_eq!(fence(&b, 54_000), Some(2));
    assert_eq!(fence(&a, 54_000), None, "the holder's own clock ends its grant");
    // It resumes, and its renewal is refused with the row of the new holder.
    run(&mut a, &mut table, 54_000, 55_000, Delivery::Done);
    assert_eq!(fence(&a, 55_000), None);
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    struct Case {
        name: &'static str,
        /// Time at which the one call with this delivery is made.
        lost_ms: u64,
        delivery: Delivery,
        want_revisions: u64,
    }
    let cases = [
        Case {
            name: "acquire, done",
            lost_ms: 100,
            delivery: Delivery::AnswerLost,
            want_revisions: 1,
        },
        Case {
            name: "acquire, not done",
            lost_ms: 100,
            delivery: Delivery::CallLost,
            want_revisions: 1,
        },
        Case {
            name: "renew, done",
            lost_ms: 3_100,
            delivery: Delivery::AnswerLost,
            want_revisions: 2,
        },
        Case {
            name: "renew, not done",
            lost_ms: 3_100,
            delivery: Delivery::CallLost,
            want_revisions: 2,
        },
    ];
    for case in cases {
        let (mut a, mut table) = (manager("a"), Table::default());
        run(&mut a, &mut table, 0, case.lost_ms, Delivery::Done);
        run(&mut a, &mut table, case.lost_ms, case.lost_ms + 100, case.delivery);
        run(&mut a, &mut table, case.lost_ms + 100, case.lost_ms + 1_500, Delivery::Done);
        assert_eq!(fence(&a, case.lost_ms + 1_500), Some(1), "{}", case.name);
        assert!(table.revision >= case.want_revisions, "{}", case.name);
    }
}

/// The length of the lease counts from before the first write that may have written the row, not
/// from the time at which the row was read back.
#[test]
fn a_lease_that_was_read_back_counts_from_its_first_write() {
    let (mut a, mut table) = (manager("a"), Table::default());
    run(&mut a, &mut table, 0, 100, Delivery::Done);
    run(&mut a, &mut table, 100, 200, Delivery::AnswerLost);
    run(&mut a, &mut table, 200, 5_100, Delivery::Down);
    run(&mut a, &mut table, 5_100, 5_700, Delivery::Done);
    let until = at(100) + Duration::from_secs(8);
    let grant = a.grant(at(5_700)).expect("held");
    // A renewal may have followed; its length counts from when it was sent.
    assert!(grant.valid_until == until || table.revision > 1, "{grant:?}");
    let (mut b, mut row) = (manager("b"), Table::default());
    run(&mut b, &mut row, 0, 100, Delivery::Done);
    run(&mut b, &mut row, 100, 200, Delivery::AnswerLost);
    run(&mut b, &mut row, 200, 9_000, Delivery::Down);
    let call = b.tick(at(9_100)).expect("a call that reads the row back");
    let answer = row.deliver(&call, Delivery::Done);
    b.on_result(&call, answer, at(9_120));
    assert_eq!(fence(&b, 9_120), None, "more than the length has passed since the write");
}

#[test]
fn an_outage_longer_than_the_lease_ends_the_grant_and_not_the_lease() {
    let (mut a, mut table) = (manager("a"), Table::default());
    run(&mut a, &mut table, 0, 4_000, Delivery::Done);
    run(&mut a, &mut table, 4_000, 30_000, Delivery::Down);
    assert_eq!(fence(&a, 12_000), None, "no renewal since 3.1 s");
    run(&mut a, &mut table, 30_000, 31_000, Delivery::Done);
    assert_eq!(fence(&a, 31_000), Some(1), "nobody else has taken it over");
}

#[test]
fn a_release_hands_the_lease_over_at_once() {
    struct Case {
        name: &'static str,
        delivery: Delivery,
    }
    let cases = [
        Case { name: "undisturbed", delivery: Delivery::Done },
        Case { name: "answer lost", delivery: Delivery::AnswerLost },
        Case { name: "write lost", delivery: Delivery::CallLost },
        Case { name: "store down for a while", delivery: Delivery::Down },
    ];
    for case in cases {
        let (mut a, mut b, mut table) = (manager("a"), manager("b"), Table::default());
        run(&mut a, &mut table, 0, 4_000, Delivery::Done);
        a.release(at(4_000));
        assert_eq!(fence(&a, 4_000), None, "{}", case.name);
        run(&mut a, &mut table, 4_000, 4_100, case.delivery);
        run(&mut a, &mut table, 4_100, 6_000, Delivery::Done);
        assert!(a.is_released(), "{}", case.name);
        run(&mut b, &mut table, 6_000, 7_000, Delivery::Done);
        assert_eq!(fence(&b, 7_000), Some(2), "{}", case.name);
        run(&mut a, &mut table, 7_000, 60_000, Delivery::Done);
        assert_eq!(fence(&a, 60_000), None, "{}: acquired again after the release", case.name);
    }
}

#[test]
fn a_release_waits_for_the_call_in_flight() {
    let (mut a, mut table) = (manager("a"), Table::default());
    run(&mut a, &mut table, 0, 3_100, Delivery::Done);
    let call = a.tick(at(3_200)).expect("a renewal");
    a.release(at(3_210));
    let answer = table.deliver(&call, Delivery::Done);
    a.on_result(&call, answer, at(3_220));
    assert!(!a.is_released());
    run(&mut a, &mut table, 3_300, 4_000, Delivery::Done);
    assert!(a.is_released());
    assert_eq!(table.row.as_ref().and_then(|row| row.holder.clone()), None);
}

#[test]
fn a_release_undoes_a_take_over_whose_answer_was_lost() {
    struct Case {
        name: &'static str,
        delivery: Delivery,
        want_fence: Option<u64>,
    }
    let cases = [
        Case { name: "done", delivery: Delivery::AnswerLost, want_fence: Some(1) },
        Case { name: "not done", delivery: Delivery::CallLost, want_fence: None },
    ];
    for case in cases {
        let (mut a, mut table) = (manager("a"), Table::default());
        run(&mut a, &mut table, 0, 100, Delivery::Done);
        run(&mut a, &mut table, 100, 200, case.delivery);
        a.release(at(200));
        run(&mut a, &mut table, 200, 3_000, Delivery::Done);
        assert!(a.is_released(), "{}", case.name);
        assert_eq!(table.row.as_ref().map(|row| row.fence), case.want_fence, "{}", case.name);
        assert_eq!(table.row.and_then(|row| row.holder), None, "{}", case.name);
    }
}

#[test]
fn another_incarnation_of_the_holder_waits_like_other_instances() {
    let (mut a, mut table) = (manager("a"), Table::default());
    run(&mut a, &mut table, 0, 1_000, Delivery::Done);
    let mut next = LeaseManager::new("steward", holder("a", 2), LeaseTiming::default());
    run(&mut next, &mut table, 1_000, 10_000, Delivery::Done);
    assert_eq!(fence(&next, 10_000), None);
    run(&mut next, &mut table, 10_000, 15_000, Delivery::Done);
    assert_eq!(fence(&next, 15_000), Some(2));
}

#[test]
fn row_reads_stay_bounded_as_instances_grow() {
    struct Case {
        instances: usize,
        want_s: f64,
    }
    let cases = [
        Case { instances: 8, want_s: 3.0 },
        Case { instances: 64, want_s: 6.4 },
        Case { instances: 400, want_s: 10.0 },
    ];
    for case in cases {
        let poll = LeaseTiming::default().for_size(case.instances).poll;
        assert_eq!(poll.as_secs_f64(), case.want_s, "{} instances", case.instances);
    }
}

const MANAGERS: usize = 3;

/// Clock rates of the instances, in thousandths of the true rate.
const RATES: [u64; MANAGERS] = [990, 1_000, 1_010];

/// A release event has an effect if its number, from 0 to 255, is below this.
const STOPS: u8 = 24;

/// Four calls in five take effect and are answered.
fn delivery_of(delivery: u8) -> Delivery {
    match delivery % 20 {
        0 => Delivery::AnswerLost,
        1 => Delivery::CallLost,
        2 => Delivery::Down,
        3 => Delivery::Late,
        _ => Delivery::Done,
    }
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Event {
    /// Time passes, in units of 100 ms.
    Pass(u8),
    /// An instance runs; without this event it is paused.
    Run { index: u8, delivery: u8 },
    /// An instance makes a call, which stays in flight.
    Send { index: u8 },
    /// The call in flight is delivered.
    Arrive { index: u8, delivery: u8 },
    /// Late writes take effect.
    Late,
    /// A writer reads the record and checks its grant.
    Check { index: u8 },
    /// A writer makes the conditional write for which it checked its grant.
    Use { index: u8 },
    /// A planned stop, or the start of a new incarnation after one.
    Release { index: u8 },
}

/// A record that is written under the lease.
#[derive(Debug, Default)]
struct Record {
    revision: u64,
    fence: u64,
}

#[derive(Debug)]
struct Actor {
    manager: LeaseManager,
    incarnation: u64,
    call: Option<LeaseCall>,
    /// Revision of the record and fencing number with which the grant was checked.
    checked: Option<(u64, u64)>,
}

struct World {
    now_ms: u64,
    timing: LeaseTiming,
    table: Table,
    record: Record,
    actors: Vec<Actor>,
}

impl World {
    fn new(timing: LeaseTiming) -> Self {
        let actor = |index: usize| Actor {
            manager: LeaseManager::new("x", holder(&index.to_string(), 1), timing),
            incarnation: 1,
            call: None,
            checked: None,
        };
        let actors = (0..MANAGERS).map(actor).collect();
        Self { now_ms: 0, timing, table: Table::default(), record: Record::default(), actors }
    }

    /// The clock of an instance, which has its own zero and its own rate.
    fn clock(&self, index: usize) -> Time {
        Time::from_micros(self.now_ms * RATES[index] + 77_000_000 * index as u64)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Pass(units) => self.now_ms += u64::from(units % 40) * 100,
            Event::Run { index, delivery } => {
                self.send(usize::from(index) % MANAGERS);
                self.arrive(usize::from(index) % MANAGERS, delivery_of(delivery));
            }
            Event::Send { index } => self.send(usize::from(index) % MANAGERS),
            Event::Arrive { index, delivery } => {
                self.arrive(usize::from(index) % MANAGERS, delivery_of(delivery));
            }
            Event::Late => self.table.deliver_late(),
            Event::Check { index } => self.check(usize::from(index) % MANAGERS),
            Event::Use { index } => self.use_grant(usize::from(index) % MANAGERS),
            Event::Release { index } if index < STOPS => self.stop(usize::from(index) % MANAGERS),
            Event::Release { .. } => {}
        }
    }

    fn stop(&mut self, index: usize) {
        let now = self.clock(index);
        let actor = &mut self.actors[index];
        if actor.manager.is_released() {
            actor.incarnation += 1;
            let me = holder(&index.to_string(), actor.incarnation);
            actor.manager = LeaseManager::new("x", me, self.timing);
        } else {
            actor.manager.release(now);
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.clock(index);
        let actor = &mut self.actors[index];
        if actor.call.is_none() {
            actor.call = actor.manager.tick(now);
        }
    }

    fn arrive(&mut self, index: usize, delivery: Delivery) {
        let now = self.clock(index);
        let actor = &mut self.actors[index];
        if let Some(call) = actor.call.take() {
            let answer = self.table.deliver(&call, delivery);
            actor.manager.on_result(&call, answer, now);
        }
    }

    fn check(&mut self, index: usize) {
        let revision = self.record.revision;
        let now = self.clock(index);
        let grant = self.actors[index].manager.grant(now);
        let usable = grant.filter(|grant| grant.fence >= self.record.fence);
        self.actors[index].checked = usable.map(|grant| (revision, grant.fence));
    }

    fn use_grant(&mut self, index: usize) {
        let Some((expected, fence)) = self.actors[index].checked.take() else {
            return;
        };
        if expected != self.record.revision {
            return;
        }
        assert!(fence >= self.record.fence, "a write under fence {fence} after {:?}", self.record);
        self.record = Record { revision: expected + 1, fence };
    }

    fn holders(&self) -> usize {
        let holds = |index: &usize| self.actors[*index].manager.grant(self.clock(*index)).is_some();
        (0..MANAGERS).filter(holds).count()
    }
}

/// Runs `events` and returns the largest number of instances that held a grant at the same time.
fn most_holders(events: &[Event], timing: LeaseTiming) -> usize {
    let mut world = World::new(timing);
    let mut most = 0;
    for event in events {
        world.step(*event);
        most = most.max(world.holders());
    }
    most
}

/// For random lost and late calls, pauses and stops, no two instances hold a grant at the same
/// time, and no conditional write with a lower fencing number follows one with a higher number.
#[test]
fn random_orders_never_have_two_effective_writers() {
    let orders = produce::<Vec<Event>>().with().len(0..300usize);
    check!().with_generator(orders).for_each(|events| {
        assert!(most_holders(events, LeaseTiming::default()) <= 1);
    });
}

/// The margin allows for clocks of different rates: without it, the same events lead to two
/// holders.
#[test]
fn without_the_margin_two_clocks_overlap() {
    const DONE: u8 = 19;
    let run = |index| Event::Run { index, delivery: DONE };
    let events =
        [run(0), run(0), run(2), Event::Pass(30), Event::Pass(30), Event::Pass(30), run(2)];
    let timing = LeaseTiming { margin: Duration::ZERO, ..LeaseTiming::default() };
    assert_eq!(most_holders(&events, timing), 2);
    assert_eq!(most_holders(&events, LeaseTiming::default()), 1);
}
