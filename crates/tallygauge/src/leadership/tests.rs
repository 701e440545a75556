//! Transitions between leader and follower.

use super::*;

const NODE: &str = "n-a";

fn leadership_of(term: u64) -> Leadership {
    Leadership {
        term,
        term_condition: Condition {
            key: "t/term".into(),
            version: 1,
        },
        cluster: None,
        term_confirmed_at: 10.0,
        lease_renewed_at: 10.0,
        watch_confirmed_at: 10.0,
        watched_revision: 0,
        last_worker_heartbeat_at: 10.0,
    }
}

fn leader_of_term(term: u64) -> LeadershipState {
    let state = LeadershipState::new(NODE.into());
    state.begin_term(leadership_of(term));
    state
}

fn view(term: u64, leader: Option<&str>) -> LeaderView {
    LeaderView {
        term,
        leader: leader.map(str::to_string),
    }
}

#[test]
fn a_controller_that_begins_a_term_is_the_leader_that_it_observes() {
    let state = leader_of_term(3);
    assert!(state.is_leader());
    assert_eq!(state.own_term(), Some(3));
    assert_eq!(state.leader_view(), view(3, Some(NODE)));
}

#[test]
fn observing_a_higher_term_ends_own_leadership_and_forgets_the_leader() {
    let state = leader_of_term(3);
    state.observe_term(4, None);
    assert!(!state.is_leader());
    assert_eq!(state.leader_view(), view(4, None));
    state.observe_term(4, Some("n-b"));
    assert_eq!(state.leader_view(), view(4, Some("n-b")));
}

#[test]
fn observing_a_lower_term_or_the_same_without_its_leader_changes_nothing() {
    let state = leader_of_term(3);
    state.observe_term(2, Some("n-b"));
    state.observe_term(3, None);
    assert_eq!(state.own_term(), Some(3));
    assert_eq!(state.leader_view(), view(3, Some(NODE)));
}

#[test]
fn stepping_down_clears_the_observed_leader_unless_it_is_another() {
    let state = leader_of_term(3);
    state.step_down("test");
    assert_eq!(state.leader_view(), view(3, None));
    state.observe_term(4, Some("n-b"));
    state.step_down("test");
    assert_eq!(state.leader_view(), view(4, Some("n-b")));
}

#[test]
fn candidacy_is_suspended_until_the_given_time() {
    let state = LeadershipState::new(NODE.into());
    assert!(!state.is_candidacy_suspended(1.0));
    state.suspend_candidacy_until(5.0);
    assert!(state.is_candidacy_suspended(4.9));
    assert!(!state.is_candidacy_suspended(5.0));
}

#[test]
fn a_leader_without_cluster_state_is_fenced_however_recently_it_was_elected() {
    assert!(leadership_of(1).is_fenced(10.0, 100.0));
}
