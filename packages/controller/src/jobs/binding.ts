/** Tasks on machines, or on their way there. */
import type { Instant, TaskState } from '@tealdock/wire';
import type { Resources } from '@tealdock/scheduler';

/** How a task is to be stopped, and why. */
export interface StopRequest {
  gracePeriod: number;
  reason: string;
}

/**
 * A task on a machine, or on its way there. `booked`: not told to the worker
 * yet. `sent`: a start left in the answer to report (`session`, `seq`). `seen`:
 * a counted report has it.
 */
export interface Binding {
  readonly task: string;
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  team: string;
  resources: Resources;
  phase: 'assigned' | 'dispatched' | 'observed';
  assignedAt: Instant;
  dispatchedAgentEpoch: number;
  dispatchedSequenceNumber: number;
  state: TaskState | null;
  runningSince: Instant | null;
  /** Changed through the term only, since sums depend on it. */
  stopRequest: StopRequest | null;
  /** The first of a job that waited for too long: it is not stopped for others. */
  protectedFromPreemption: boolean;
  /** Null where the job is not known any more. */
  readonly image: string | null;
  readonly imageGb: number;
  /** Not one that this term wants to run: it is only counted until it is gone. */
  orphaned: boolean;
  /** Its job was cancelled: when the task must be gone by the protocol; null for any other. */
  terminationDeadline: Instant | null;
}

/** Names a binding among those of its machine. */
export const bindingKey = (task: string, attempt: number): string => `${task}#${attempt}`;
