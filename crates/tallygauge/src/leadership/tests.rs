//! Transitions between the roles of leader and follower.

use super::*;

const NODE_NAME: &str = "n-a";

fn leadership_of_term(term: u64) -> Leadership {
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

fn state_of_leader(term: u64) -> LeadershipState {
    let state = LeadershipState::new(NODE_NAME.into());
    state.begin_term(leadership_of_term(term));
    state
}

fn observed(term: u64, leader: Option<&str>) -> LeaderView {
    LeaderView {
        term,
        leader: leader.map(str::to_string),
    }
}

#[test]
fn beginning_a_term_makes_this_controller_the_observed_leader() {
    let state = state_of_leader(3);
    assert!(state.is_leader());
    assert_eq!(state.own_term(), Some(3));
    assert_eq!(state.leader_view(), observed(3, Some(NODE_NAME)));
}

#[test]
fn observing_a_higher_term_ends_own_leadership_and_clears_the_observed_leader() {
    let state = state_of_leader(3);
    state.observe_term(4, None);
    assert!(!state.is_leader());
    assert_eq!(state.leader_view(), observed(4, None));
    state.observe_term(4, Some("n-b"));
    assert_eq!(state.leader_view(), observed(4, Some("n-b")));
}

#[test]
fn observing_a_lower_term_or_the_own_term_without_leader_is_ignored() {
    let state = state_of_leader(3);
    state.observe_term(2, Some("n-b"));
    state.observe_term(3, None);
    assert_eq!(state.own_term(), Some(3));
    assert_eq!(state.leader_view(), observed(3, Some(NODE_NAME)));
}

#[test]
fn stepping_down_clears_the_observed_leader_only_if_it_is_this_controller() {
    let state = state_of_leader(3);
    state.step_down("test");
    assert_eq!(state.leader_view(), observed(3, None));
    state.observe_term(4, Some("n-b"));
    state.step_down("test");
    assert_eq!(state.leader_view(), observed(4, Some("n-b")));
}

#[test]
fn candidacy_is_suspended_until_the_given_time() {
    let state = LeadershipState::new(NODE_NAME.into());
    assert!(!state.is_candidacy_suspended(1.0));
    state.suspend_candidacy_until(5.0);
    assert!(state.is_candidacy_suspended(4.9));
    assert!(!state.is_candidacy_suspended(5.0));
}

#[test]
fn a_leader_without_cluster_state_is_fenced_even_right_after_its_election() {
    assert!(leadership_of_term(1).is_fenced(10.0, 100.0));
}
