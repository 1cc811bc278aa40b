//! Tests of membership: timeouts, incarnations, network cuts, flapping and leaving targets.

mod world;

use std::time::Duration;

use bolero::{TypeGenerator, check, produce};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamewind_membership::{
    ExchangeKind, Identity, Leaving, ListedState, ListedTarget, MemberEvent, Members, Source,
    Timing,
};
use sesamewind_protocol::message::{Exchange, MemberEntry, MemberState, Sender};
use sesamewind_protocol::{Incarnation, InstanceId, Revision, TargetId, Time, WallTime, ZoneId};
use world::{World, name};

const NODES: usize = 4;

const SECOND: Duration = Duration::from_secs(1);

fn eight_instances() -> World {
    World::new(8, 4, 1, Timing::default())
}

fn state(world: &World, viewer: usize, of: usize) -> Option<MemberState> {
    world.nodes[viewer].members.known(&name(of), world.now).map(|known| known.state)
}

fn is_reachable(world: &World, viewer: usize, of: usize) -> bool {
    world.nodes[viewer].members.known(&name(of), world.now).is_some_and(|known| known.reachable)
}

fn is_receiving(world: &World, viewer: usize, of: usize) -> bool {
    world.nodes[viewer].members.known(&name(of), world.now).is_some_and(|known| known.receiving)
}

/// Whether every running instance sees `of` in the state `want`.
fn all_see(world: &World, of: usize, want: MemberState) -> bool {
    let viewers = (0..world.nodes.len()).filter(|index| *index != of && world.nodes[*index].is_up);
    viewers.into_iter().all(|viewer| state(world, viewer, of) == Some(want))
}

#[test]
fn all_instances_receive_from_each_other_within_two_seconds() {
    let mut world = eight_instances();
    let took = world.run_until(10 * SECOND, |world| {
        (0..8).all(|viewer| (0..8).all(|of| viewer == of || is_receiving(world, viewer, of)))
    });
    assert!(took <= 2 * SECOND, "{took:?}");
    world.run(10 * SECOND);
    for viewer in 0..8 {
        let reachable = world.nodes[viewer].members.reachable(world.now);
        assert_eq!(reachable.len(), 7, "{viewer}: {reachable:?}");
    }
}

#[test]
fn a_configuration_reaches_everyone_from_one_instance() {
    struct Case {
        name: &'static str,
        count: usize,
        zones: usize,
        limit: Duration,
    }
    let cases = [
        Case { name: "today", count: 8, zones: 4, limit: SECOND },
        Case { name: "larger", count: 64, zones: 8, limit: 2 * SECOND },
    ];
    for case in cases {
        let mut world = World::new(case.count, case.zones, 2, Timing::default());
        world.run(10 * SECOND);
        world.nodes[0].config.offer(Revision(7), "hash", Source::Store);
        world.nodes[0].config.install(Revision(7), "hash");
        world.nodes[0].members.mark_urgent();
        let took = world.run_until(20 * SECOND, |world| {
            world.nodes.iter().all(|node| node.config.in_force().revision == Revision(7))
        });
        assert!(took <= case.limit, "{}: {took:?}", case.name);
        let stale: u64 = world.nodes.iter().map(|node| node.config.mismatched_offers()).sum();
        assert_eq!(stale, 0, "{}: an omitted hash counts as a mismatch", case.name);
    }
}

#[test]
fn a_silent_instance_is_suspected_before_it_is_removed() {
    let mut world = eight_instances();
    world.run(10 * SECOND);
    world.nodes[3].is_up = false;
    let suspected = world.run_until(30 * SECOND, |world| all_see(world, 3, MemberState::Suspect));
    assert!(suspected >= 3 * SECOND && suspected <= 6 * SECOND, "{suspected:?}");
    let removed = world.run_until(30 * SECOND, |world| all_see(world, 3, MemberState::Removed));
    assert!(removed >= 3 * SECOND, "removed {removed:?} after the suspicion");
    for viewer in [0, 1, 7] {
        let events = &world.nodes[viewer].events;
        let at = |event| events.iter().position(|seen| *seen == event);
        let suspected = at(MemberEvent::Suspected(name(3)));
        assert!(suspected.is_some() && suspected < at(MemberEvent::Removed(name(3))));
        // It may have accepted a first attempt of a request, so it stays known.
        let known = world.nodes[viewer].members.all_known(world.now);
        assert!(known.iter().any(|known| known.instance == name(3) && !known.reachable));
    }
}

#[test]
fn a_removed_instance_is_forgotten_only_after_the_retention_time() {
    let timing = Timing { retention: 60 * SECOND, ..Timing::default() };
    let mut world = World::new(4, 2, 1, timing);
    world.run(10 * SECOND);
    world.nodes[3].is_up = false;
    world.listed.retain(|entry| entry.name != name(3));
    world.run(55 * SECOND);
    assert_eq!(state(&world, 0, 3), Some(MemberState::Removed));
    world.run(20 * SECOND);
    assert_eq!(state(&world, 0, 3), None);
}

#[test]
fn a_restart_on_the_same_address_is_a_new_incarnation() {
    let mut world = eight_instances();
    world.run(10 * SECOND);
    world.nodes[5].members.stop();
    world.run(3 * SECOND);
    assert!(all_see(&world, 5, MemberState::Leaving), "a planned stop is announced");
    world.restart(5);
    let took = world.run_until(10 * SECOND, |world| all_see(world, 5, MemberState::Live));
    assert!(took <= 3 * SECOND, "{took:?}");
    world.run(SECOND);
    let event = MemberEvent::Restarted(name(5), Incarnation(2));
    assert!(world.nodes[0].events.contains(&event));
}

#[test]
fn one_way_cuts_distinguish_reachable_from_receiving() {
    let mut world = eight_instances();
    world.run(10 * SECOND);
    world.cuts.insert((0, 1));
    world.run(15 * SECOND);
    assert!(!is_reachable(&world, 0, 1), "calls to it are not answered");
    assert!(is_receiving(&world, 0, 1), "the other still calls it");
    assert_eq!(state(&world, 0, 1), Some(MemberState::Live));
    assert!(is_reachable(&world, 1, 0));
    world.cuts.clear();
    world.run(4 * SECOND);
    assert!(is_reachable(&world, 0, 1));
}

#[test]
fn zones_that_were_cut_off_agree_within_four_seconds() {
    struct Case {
        name: &'static str,
        group: &'static [usize],
    }
    let cases = [
        Case { name: "one zone of four", group: &[0, 4] },
        Case { name: "half", group: &[0, 4, 1, 5] },
        Case { name: "one instance", group: &[2] },
    ];
    for case in cases {
        let mut world = eight_instances();
        world.run(10 * SECOND);
        world.list_up = false;
        world.cut_off(case.group);
        world.run(60 * SECOND);
        let inside = case.group[0];
        let outside = 3;
        assert_eq!(state(&world, outside, inside), Some(MemberState::Removed), "{}", case.name);
        world.nodes[outside].config.install(Revision(9), "new");
        world.cuts.clear();
        let took = world.run_until(20 * SECOND, |world| {
            let is_live = (0..8).all(|of| all_see(world, of, MemberState::Live));
            is_live && world.nodes.iter().all(|node| node.config.in_force().revision.0 == 9)
        });
        assert!(took <= 4 * SECOND, "{}: {took:?}", case.name);
    }
}

#[test]
fn flapping_is_damped() {
    let mut world = eight_instances();
    world.run(10 * SECOND);
    let mut recoveries = Vec::new();
    for _ in 0..10 {
        world.nodes[6].is_up = false;
        world.run(5 * SECOND);
        world.nodes[6].is_up = true;
        world.run(5 * SECOND);
        let events = &mut world.nodes[0].events;
        let count =
            events.iter().filter(|event| **event == MemberEvent::Recovered(name(6))).count();
        recoveries.push(count);
        events.clear();
    }
    assert!(recoveries[0] == 1, "the first recovery is immediate: {recoveries:?}");
    assert!(recoveries[6..].iter().sum::<usize>() <= 1, "{recoveries:?}");
    world.run(60 * SECOND);
    assert_eq!(
        state(&world, 0, 6),
        Some(MemberState::Live),
        "live again after the flapping stopped"
    );
}

fn sender(name: &str, incarnation: u64, zone: &str, seq: u64) -> Sender {
    Sender {
        deployment: "bomba".to_owned(),
        instance: InstanceId::new(name),
        incarnation: Incarnation(incarnation),
        zone: ZoneId::new(zone),
        seq,
    }
}

fn viewer() -> Members {
    let me = Identity {
        deployment: "bomba".to_owned(),
        instance: InstanceId::new("me"),
        incarnation: Incarnation(1),
        zone: ZoneId::new("here"),
        region: String::new(),
        address: "10.0.0.1:7000".to_owned(),
    };
    Members::new(me, Timing::default())
}

#[test]
fn reports_by_other_instances_are_accepted_only_in_defined_cases() {
    struct Case {
        name: &'static str,
        reporter_zone: &'static str,
        incarnation: u64,
        reported: MemberState,
        silent_s: u64,
        want: MemberState,
    }
    let case = |name, reporter_zone, incarnation, reported, silent_s, want| Case {
        name,
        reporter_zone,
        incarnation,
        reported,
        silent_s,
        want,
    };
    use MemberState::{Leaving, Live, Removed, Suspect};
    let cases = [
        case("removed by its own zone", "there", 5, Removed, 4, Removed),
        case("suspected by its own zone", "there", 5, Suspect, 4, Suspect),
        case("removed by its own zone, but a message just arrived", "there", 5, Removed, 1, Live),
        case("removed by another zone", "elsewhere", 5, Removed, 4, Live),
        case("an earlier incarnation", "there", 4, Removed, 4, Live),
        case("planned stop, reported by any zone", "elsewhere", 5, Leaving, 1, Leaving),
        case("planned stop of an earlier incarnation", "elsewhere", 4, Leaving, 1, Live),
    ];
    for case in cases {
        let mut members = viewer();
        // Many instances in another zone extend the timeout for that zone.
        for index in 0..40 {
            let from = sender(&format!("other-{index}"), 1, "there", 1);
            members.on_exchange(&Exchange::new(from, WallTime(0)), Time::from_millis(900));
        }
        let from = sender("peer", 5, "there", 1);
        members.on_exchange(&Exchange::new(from, WallTime(0)), Time::from_millis(1_000));
        let now = Time::from_millis(1_000 + case.silent_s * 1_000);
        let mut report = Exchange::new(sender("reporter", 1, case.reporter_zone, 1), WallTime(0));
        report.members.push(MemberEntry {
            instance: "peer".into(),
            incarnation: Incarnation(case.incarnation),
            zone: "there".into(),
            address: "10.0.0.2:7000".to_owned(),
            state: case.reported,
        });
        members.on_exchange(&report, now);
        members.tick(now);
        let got = members.known(&"peer".into(), now).map(|known| known.state);
        assert_eq!(got, Some(case.want), "{}", case.name);
    }
}

#[test]
fn messages_of_another_deployment_or_an_earlier_incarnation_are_ignored() {
    let mut members = viewer();
    let mut foreign = sender("peer", 5, "there", 1);
    foreign.deployment = "derwent".to_owned();
    members.on_exchange(&Exchange::new(foreign, WallTime(0)), Time::from_millis(1_000));
    assert_eq!(members.all_known(Time::from_millis(1_000)), []);
    let new = Exchange::new(sender("peer", 5, "here", 1), WallTime(0));
    members.on_exchange(&new, Time::from_millis(1_000));
    let old = Exchange::new(sender("peer", 4, "here", 900), WallTime(0));
    let now = Time::from_millis(6_000);
    members.on_exchange(&old, now);
    let known = members.known(&"peer".into(), now).unwrap();
    assert!(!known.receiving, "a message of an earlier incarnation counts for the current one");
    assert_eq!(known.incarnation, Incarnation(5));
}

#[test]
fn rounds_beyond_the_zone_have_a_fixed_fan_out() {
    let mut world = World::new(80, 8, 4, Timing::default());
    world.run(10 * SECOND);
    let before: u64 = world.nodes.iter().map(|node| node.traffic.messages).sum();
    world.run(20 * SECOND);
    let after: u64 = world.nodes.iter().map(|node| node.traffic.messages).sum();
    let per_s = (after - before) as f64 / 20.0 / 80.0;
    // 2 calls to other zones and up to 9 in the own zone; each is a request and a reply, and each
    // of these is counted when sent and when received.
    assert!(per_s <= 4.0 * (2.0 + 9.0), "{per_s} messages/s an instance");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = world.now + 10 * SECOND;
    let peers = world.nodes[0].members.exchange_peers(now, &mut rng);
    let summaries = peers.iter().filter(|peer| peer.kind == ExchangeKind::Summary).count();
    assert_eq!(summaries, 2);
}

/// A report about a target, or a wait in seconds.
enum Update {
    Listed(ListedState),
    Report(u64, bool),
    Refusal,
    Entry(u64),
    Wait(u64),
}

#[test]
fn leaving_is_set_by_any_source_and_kept_for_the_incarnation() {
    use ListedState::{Leaving as Leaves, Live};
    use Update::{Entry, Listed, Refusal, Report, Wait};
    struct Case {
        name: &'static str,
        updates: Vec<Update>,
        want: bool,
    }
    let case = |name, updates, want| Case { name, updates, want };
    let cases = [
        case("live", vec![Listed(Live), Report(5, false)], false),
        case("list first", vec![Report(5, false), Listed(Leaves)], true),
        case("list before any report", vec![Listed(Leaves), Report(5, false)], true),
        case("report first", vec![Listed(Live), Report(5, true)], true),
        case("refusal first", vec![Report(5, false), Refusal], true),
        case("another instance first", vec![Report(5, false), Entry(5)], true),
        case("sticky against a report", vec![Report(5, true), Report(5, false)], true),
        case("sticky against a lagging list", vec![Report(5, true), Listed(Live)], true),
        case("a later incarnation is usable", vec![Report(5, true), Report(6, false)], false),
        case("an entry about an earlier incarnation", vec![Report(6, false), Entry(5)], false),
        case(
            "a lagging list after a restart",
            vec![Report(5, false), Listed(Leaves), Report(6, false), Wait(8), Listed(Leaves)],
            false,
        ),
        case(
            "a lagging list that changes after the restart is known",
            vec![Report(5, false), Listed(Live), Report(6, false), Wait(5), Listed(Leaves)],
            false,
        ),
        case(
            "a list that changes long after the restart",
            vec![Report(5, false), Report(6, false), Wait(11), Listed(Live), Listed(Leaves)],
            true,
        ),
    ];
    let target = TargetId::new("engine-1");
    for case in cases {
        let mut leaving = Leaving::new(10 * SECOND, 600 * SECOND);
        let mut now = Time::from_millis(1_000);
        for updates in case.updates {
            match updates {
                Listed(state) => {
                    leaving.on_list(&[ListedTarget { name: target.clone(), state }], now);
                }
                Report(incarnation, leaves) => {
                    leaving.on_report(&target, Incarnation(incarnation), leaves, now);
                }
                Refusal => {
                    leaving.on_refusal(&target, now);
                }
                Entry(incarnation) => {
                    let incarnation = Incarnation(incarnation);
                    let target = target.clone();
                    let entry = sesamewind_protocol::message::LeavingEntry { target, incarnation };
                    leaving.on_entries(&[entry], now);
                }
                Wait(seconds) => now = now + Duration::from_secs(seconds),
            }
        }
        assert_eq!(leaving.contains(&target), case.want, "{}", case.name);
    }
}

#[test]
fn a_leaving_target_is_known_everywhere_within_three_seconds() {
    let mut world = eight_instances();
    world.run(10 * SECOND);
    let target = TargetId::new("engine-1");
    let now = world.now;
    let members = &mut world.nodes[2].members;
    assert!(members.leaving_mut().on_report(&target, Incarnation(5), true, now));
    members.mark_urgent();
    let took = world.run_until(20 * SECOND, |world| {
        world.nodes.iter().all(|node| node.members.leaving().contains(&target))
    });
    assert!(took <= 3 * SECOND, "{took:?}");
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Event {
    Run(u8),
    Down(u8),
    Up(u8),
    Restart(u8),
    Cut(u8, u8),
    Heal,
}

/// After any sequence of faults, once all instances run and nothing is cut, all of them see each
/// other as live in the newest incarnation.
#[test]
fn random_faults_end_in_agreement() {
    let orders = produce::<Vec<Event>>().with().len(0..16usize);
    check!().with_generator(orders).for_each(|events| {
        let timing = Timing { max_probation: 4 * SECOND, ..Timing::default() };
        let mut world = World::new(NODES, 2, 1, timing);
        world.step = Duration::from_millis(500);
        for event in events {
            match *event {
                Event::Run(tenths) => world.run(Duration::from_millis(u64::from(tenths) * 40)),
                Event::Down(node) => world.nodes[usize::from(node) % NODES].is_up = false,
                Event::Up(node) => world.nodes[usize::from(node) % NODES].is_up = true,
                Event::Restart(node) => world.restart(usize::from(node) % NODES),
                Event::Cut(from, to) => {
                    world.cuts.insert((usize::from(from) % NODES, usize::from(to) % NODES));
                }
                Event::Heal => world.cuts.clear(),
            }
        }
        world.cuts.clear();
        world.nodes.iter_mut().for_each(|node| node.is_up = true);
        // Enough for a round of exchanges and the longest probation after flapping.
        world.run(8 * SECOND);
        for of in 0..NODES {
            assert!(all_see(&world, of, MemberState::Live), "{of} is not live everywhere");
            let incarnation = world.nodes[of].members.me().incarnation;
            let seen = world.nodes[(of + 1) % NODES].members.known(&name(of), world.now);
            assert_eq!(seen.map(|known| known.incarnation), Some(incarnation));
        }
    });
}

#[test]
fn crowded_zones_exchange_less_often() {
    struct Case {
        peers: usize,
        want_ms: u64,
    }
    let cases = [
        Case { peers: 0, want_ms: 1_000 },
        Case { peers: 8, want_ms: 1_000 },
        Case { peers: 14, want_ms: 1_750 },
        Case { peers: 100, want_ms: 2_000 },
    ];
    for case in cases {
        let interval = Timing::default().zone_interval(case.peers);
        assert_eq!(interval, Duration::from_millis(case.want_ms), "{} peers", case.peers);
    }
    let mut world = World::new(15, 1, 1, Timing::default());
    world.run(60 * SECOND);
    let is_suspicion = |event: &&MemberEvent| matches!(event, MemberEvent::Suspected(_));
    let suspicions: usize =
        world.nodes.iter().map(|node| node.events.iter().filter(is_suspicion).count()).sum();
    assert_eq!(suspicions, 0, "the longer interval causes suspicions");
}

#[test]
fn counts_are_relayed_only_to_instances_outside_the_zone_of_their_origin() {
    struct Case {
        name: &'static str,
        origin: &'static str,
        receiver: &'static str,
        want: bool,
    }
    let case = |name, origin, receiver, want| Case { name, origin, receiver, want };
    let cases = [
        case("of this instance", "me", "near", true),
        case("from the own zone to the own zone", "near", "near-2", false),
        case("from the own zone to another zone", "near", "far", true),
        case("from another zone to the own zone", "far", "near", true),
        case("from another zone to the same other zone", "far", "far-2", false),
        case("back to the origin", "far", "far", false),
        case("from an unknown instance", "lost", "near", true),
    ];
    let mut members = viewer();
    for (name, zone) in [("near", "here"), ("near-2", "here"), ("far", "there"), ("far-2", "there")]
    {
        let message = Exchange::new(sender(name, 1, zone, 1), WallTime(0));
        members.on_exchange(&message, Time::from_millis(1_000));
    }
    for case in cases {
        let got = members.is_relayed(&case.origin.into(), &case.receiver.into());
        assert_eq!(got, case.want, "{}", case.name);
    }
}

/// One call per round serves both instances of a pair, and the same one may make it each time. The
/// other still calls from time to time, so it detects that it cannot reach the first.
#[test]
fn an_instance_that_is_called_still_learns_whether_it_can_call() {
    for cut in [(0, 1), (1, 0)] {
        let mut world = World::new(2, 1, 1, Timing::default());
        world.run(10 * SECOND);
        world.cuts.insert(cut);
        world.run(15 * SECOND);
        let (from, to) = cut;
        assert!(!is_reachable(&world, from, to), "{cut:?}");
        assert!(is_reachable(&world, to, from), "{cut:?}");
    }
}
