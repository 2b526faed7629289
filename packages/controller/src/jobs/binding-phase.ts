/** How far a binding has come: assigned, dispatched, observed. */
import type { Instant, TaskState } from '@tealdock/wire';

/** State of a task that has not exited. */
export type ActiveTaskState = Exclude<TaskState, 'exited'>;

/**
 * `assigned`: placed by this term, and the start has not been sent. `dispatched`: the start
 * was sent in the response to a heartbeat. `observed`: a heartbeat has shown the task.
 */
export type BindingPhase =
  | { readonly kind: 'assigned' }
  | { readonly kind: 'dispatched'; readonly heartbeatNumber: number }
  | {
      readonly kind: 'observed';
      readonly taskState: ActiveTaskState;
      /** When a heartbeat first showed that the image was there; null while it is fetched. */
      readonly runningSince: Instant | null;
      /** Null where another term dispatched the start. */
      readonly heartbeatNumber: number | null;
    };

/** The phase after a heartbeat that shows the task; null for one that was not bound before. */
export function observedPhase(
  before: BindingPhase | null,
  taskState: ActiveTaskState,
  now: Instant,
): BindingPhase {
  const earlierStart = before?.kind === 'observed' ? before.runningSince : null;
  const isAdopted = before === null || before.kind === 'assigned';
  return {
    kind: 'observed',
    taskState,
    runningSince: earlierStart ?? (taskState === 'fetching' ? null : now),
    heartbeatNumber: isAdopted ? null : before.heartbeatNumber,
  };
}
