//! Stopping the gateway without cutting an answer, and what other signals do.

use bridgevane_events::{Event, event};
use bridgevane_gateway::gateway::Gateway;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

/// How long new connections may still come after the daemon is no longer ready: the balancer
/// asks once a second and believes the second miss.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// How often it is looked whether all answers have ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Waits for the stop signal, then for the end of every answer.
///
/// # Errors
/// When a signal can't be listened for.
pub async fn run(gateway: Arc<Gateway>) -> Result<(), std::io::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => event!(Event::SettingsSignal),
        }
    }
    let begun = Instant::now();
    let end = begun + gateway.settings.stop_ms.as_std();
    gateway.begin_stop();
    let in_progress = || gateway.in_progress.load(Ordering::Relaxed);
    event!(Event::Stopping, in_progress = in_progress());
    sleep(BALANCER_DELAY.min(gateway.settings.stop_ms.as_std())).await;
    gateway.close_resting();
    while in_progress() > 0 && Instant::now() < end {
        sleep(LOOK_EVERY).await;
    }
    // The last answer is with the system; a moment more, and it is on its way.
    sleep(LOOK_EVERY).await;
    event!(Event::Stopped, in_progress = in_progress());
    Ok(())
}
