use super::*;

fn settings() -> Settings {
    Settings::new("r", "z")
}

fn inputs() -> AdmissionInputs {
    AdmissionInputs {
        priority: 0,
        admission_draw: 0.0,
        response_time: 1000.0,
        objective: 0.0,
    }
}

fn limit(inputs: AdmissionInputs) -> f64 {
    max_utilization(&settings(), inputs)
}

#[test]
fn each_lower_priority_has_a_lower_limit_and_none_is_below_half() {
    let limits: Vec<f64> = (0..20)
        .map(|priority| {
            limit(AdmissionInputs {
                priority,
                ..inputs()
            })
        })
        .collect();
    assert_eq!(limits[0], 1.0);
    assert!(limits.windows(2).take(9).all(|pair| pair[1] < pair[0]));
    assert_eq!(limits[9], limits[19]);
    let settings = Settings {
        priority_step: 0.5,
        ..settings()
    };
    assert_eq!(
        max_utilization(
            &settings,
            AdmissionInputs {
                priority: 9,
                ..inputs()
            }
        ),
        MIN_OVERLOAD_SHARE
    );
}

#[test]
fn limits_of_priorities_overlap_so_that_none_is_excluded() {
    let most_urgent_minimum = limit(AdmissionInputs {
        admission_draw: 1.0,
        ..inputs()
    });
    let least_urgent_maximum = limit(AdmissionInputs {
        priority: 9,
        ..inputs()
    });
    assert!(least_urgent_maximum > most_urgent_minimum);
}

#[test]
fn as_many_requests_queue_as_get_a_slot_in_time() {
    let waiting = |response_time, objective| {
        limit(AdmissionInputs {
            response_time,
            objective,
            ..inputs()
        }) - 1.0
    };
    // A quarter of the objective of 1 s is a tenth of the 2.5 s that each response takes.
    assert!((waiting(2_500_000.0, 1_000_000.0) - 0.1).abs() < 1e-9);
    assert_eq!(
        (waiting(30_000.0, 400_000.0), waiting(0.0, 0.0)),
        (0.5, 0.0)
    );
}
