use super::*;
use tackmast::interface::TimeDelta;

/// On-call staff search the log for a message and count events by their fields. A value inside the message would defeat the search.
#[test]
fn an_event_is_formatted_as_its_message_and_then_its_fields() {
    let event = HostEvent::from(PlanEvent::ChangeApplied {
        change: 7,
        who: "ann".into(),
        reason: "museum week".into(),
        updates: 2,
    });
    assert_eq!(event.message(), "plans: change applied");
    assert_eq!(
        event.to_string(),
        "plans: change applied change=7 who=\"ann\" reason=\"museum week\" updates=2"
    );
}

/// A committed change that is rejected has no number. The line must not show a placeholder in its place.
#[test]
fn a_field_without_a_value_is_omitted() {
    let event = HostEvent::from(PlanEvent::ChangeRejected { change: None, error: "too late".into() });
    assert_eq!(event.to_string(), "plans: change rejected error=\"too late\"");
}

/// The logger looks up the address of the node that an event of the scheduler is about. Without the node the line would name none.
#[test]
fn an_event_of_the_scheduler_names_its_node() {
    let node = NodeId(3);
    let uptime = TimeDelta::from_secs(1.5);
    let event = HostEvent::Scheduler(SchedulerEvent::NodeRestarted { node, uptime });
    assert_eq!(event.node(), Some(node));
    assert_eq!(event.to_string(), "node restarted: slow start node=3 uptime_secs=1.5");
}
