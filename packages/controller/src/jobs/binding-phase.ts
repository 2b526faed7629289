/** Phases of a binding: assigned, dispatched, observed. */
import type { Instant, TaskState } from '@tealdock/wire';

/** State of a task that has not exited. */
export type ActiveTaskState = Exclude<TaskState, 'exited'>;

/**
 * `assigned`: this term chose the machine, but has not sent the start command. `dispatched`: the
 * start was sent in the response to the heartbeat with this number. `observed`: a heartbeat has
 * listed the task.
 */
export type BindingPhase =
  | { readonly kind: 'assigned' }
  | { readonly kind: 'dispatched'; readonly heartbeatNumber: number }
  | {
      readonly kind: 'observed';
      readonly taskState: ActiveTaskState;
      /** Arrival of the first heartbeat that listed the task with its image; null until then. */
      readonly runningSince: Instant | null;
      /** As for `dispatched`; null if this term did not dispatch the start. */
      readonly heartbeatNumber: number | null;
    };

/** The phase after a heartbeat that lists the task; `previous` is null if it was not bound. */
export function observedPhase(
  previous: BindingPhase | null,
  taskState: ActiveTaskState,
  now: Instant,
): BindingPhase {
  const earlierStart = previous?.kind === 'observed' ? previous.runningSince : null;
  const isAdopted = previous === null || previous.kind === 'assigned';
  return {
    kind: 'observed',
    taskState,
    runningSince: earlierStart ?? (taskState === 'fetching' ? null : now),
    heartbeatNumber: isAdopted ? null : previous.heartbeatNumber,
  };
}
