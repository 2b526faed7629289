/** The domain types, under the names that the project uses whatever an interface calls them. */
declare global {
  /** The web standard's type for monotonic timestamps and durations; Node's typings lack it. */
  type DOMHighResTimeStamp = number;
}

/** A duration in milliseconds, as everywhere inside tealdock. */
export type Duration = DOMHighResTimeStamp;
/** A reading of this process's monotonic clock, in milliseconds. */
export type Instant = DOMHighResTimeStamp;

/** Priorities of jobs, highest first. */
export type Priority = 'production' | 'high' | 'normal' | 'low';

/**
 * `array`: independent tasks. `gang`: all tasks run at the same time. `service`: the tasks run
 * until the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** A job as its user described it, and as it is stored: its field names must not change. */
export interface JobSpec {
  id: string;
  kind: JobKind;
  jobClass: string;
  team: string;
  priority: Priority;
  taskCount: number;
  /** Resources that each task takes on its machine: `cpus`, `gpus` and `memoryGb`. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Machine types that the job may use; null for all. */
  types: string[] | null;
  /** The zone that the job must run in; null for any. */
  zone: string | null;
  /** Whether all tasks must run in the same zone. */
  oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may run in the same zone. */
  spread: boolean;
  /** Whether the job may use spot machines. */
  spot: boolean;
  /** Run time of a task, as the user expects it. */
  estimate: Duration;
  /** Interval at which a task saves its state by itself; 0 if it can't save it. */
  checkpoint: Duration;
  /** Time that a task needs to save its state when it is stopped. */
  save: Duration;
  /** Time from the submission by which the job should be done; null without a deadline. */
  deadline: Duration | null;
  /** Jobs that must be done before any task of this one starts; absent in some stored jobs. */
  predecessors?: string[];
}

/** Ids of the jobs that must be done before any task of this one starts; empty for none. */
export const predecessorsOf = (spec: JobSpec): string[] => spec.predecessors ?? [];

/** The state of a job, as shown to users. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** A job as shown to users. */
export interface JobView {
  id: string;
  state: JobState;
  /** Number of tasks that are done; undefined if the counts are not known. */
  done?: number;
  /** Number of tasks that are running; undefined if the counts are not known. */
  running?: number;
}

/** The state of a task on its machine. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';
/** Why a task has exited. */
export type ExitReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** A task as its worker reports it. */
export interface TaskStatus {
  task: string;
  attempt: number;
  state: TaskState;
  /** Null until it has exited. */
  reason: ExitReason | null;
  /** Whether the task saved its state when it was stopped. */
  saved: boolean;
}

/** A worker's heartbeat, with all tasks on its machine. */
export interface WorkerHeartbeat {
  machine: string;
  /** `host:port` at which the worker accepts direct commands. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Incarnation number of the worker process; it increases with each start. */
  agentEpoch: number;
  /** Number of the heartbeat within the agent epoch, increasing with each heartbeat. */
  sequenceNumber: number;
  /** The highest fencing token that the worker has seen. */
  fencingToken: number;
  /** Time until the cloud preempts the machine; null if it has announced nothing. */
  preemptionNotice: Duration | null;
  tasks: TaskStatus[];
}

/** A command for one task on a worker. */
export type WorkerCommand =
  | { op: 'start'; task: string; attempt: number }
  | { op: 'stop'; task: string; attempt: number; gracePeriod: Duration }
  | { op: 'forget'; task: string; attempt: number };

/** A machine type of the catalog, also as it is stored: its field names must not change. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Disk space for cached images. */
  cacheGb: number;
  /** Rate at which a machine fetches images. */
  fetchGbPerS: number;
  /** Price per hour. */
  price: number;
  /** Price per hour of a spot machine. */
  spotPrice: number;
  /** Time from a rental until the worker's first heartbeat. */
  boot: Duration;
  zones: string[];
}

/** A machine in the cloud's machine list. */
export interface ListedMachine {
  id: string;
  /** Empty until the machine has an address. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time since the machine was rented. */
  age: Duration;
}

/** The id of a task, such as `run-000412/3` for the fourth task of a job: indices start at 0. */
export const taskId = (job: string, index: number): string => `${job}/${index}`;

/** Splits a task id into the job's id and the index; null if it is not a task id. */
export function splitTaskId(task: string): { job: string; index: number } | null {
  const [, job, index] = /^(.+)\/(\d{1,6})$/.exec(task) ?? [];
  return job === undefined ? null : { job, index: Number(index) };
}
