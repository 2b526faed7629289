/** The project's own terms for what the interfaces carry. */
declare global {
  /** The standard's type for steady instants and durations; Node's own typings leave it out. */
  type DOMHighResTimeStamp = number;
}

/** A duration in milliseconds, as everywhere inside tealdock. */
export type Duration = DOMHighResTimeStamp;
/** A reading of the steady clock, in milliseconds. */
export type Instant = DOMHighResTimeStamp;

/** How urgent a job is, from the highest to the lowest. */
export type Priority = 'production' | 'high' | 'normal' | 'low';

/** `gang`: all tasks run at the same time. `service`: runs until it is cancelled. */
export type JobKind = 'array' | 'gang' | 'service';

/** A job as its user described it. This is also its stored form, so field names stay. */
export interface JobSpec {
  id: string;
  kind: JobKind;
  jobClass: string;
  team: string;
  priority: Priority;
  taskCount: number;
  /** What each task takes of its machine. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Machine types that it may use; null for all. */
  types: string[] | null;
  /** The zone that it has to run in; null for any. */
  zone: string | null;
  /** All tasks in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks in one zone. */
  spread: boolean;
  /** Whether it may use spot machines. */
  spot: boolean;
  /** Run time of a task, as its user expects it. */
  estimate: Duration;
  /** Time between a task's own checkpoints; 0 if it can't save. */
  checkpoint: Duration;
  /** What saving takes when a task is stopped. */
  save: Duration;
  /** When it should be done, from its submission on; null without a deadline. */
  deadline: Duration | null;
  /** Jobs that have to be done before any task of this one starts; stored ones may lack it. */
  predecessors?: string[];
}

/** Jobs that have to be done before any task of this one starts. */
export const predecessorsOf = (spec: JobSpec): string[] => spec.predecessors ?? [];

/** The state of a job, as users see it. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** What users see of a job. */
export interface JobView {
  id: string;
  state: JobState;
  /** Tasks that are done; undefined where the counts are not known. */
  done?: number;
  /** Tasks that run. */
  running?: number;
}

/** State of a task on its machine. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';
/** Why a task is over. */
export type ExitReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** A task as its worker reports it. */
export interface TaskStatus {
  task: string;
  attempt: number;
  state: TaskState;
  /** Null until it has exited. */
  reason: ExitReason | null;
  /** Whether its state was saved when it was stopped. */
  saved: boolean;
}

/** A worker's heartbeat: all that is on its machine. */
export interface WorkerHeartbeat {
  machine: string;
  /** Where the worker takes direct commands. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Incarnation of the worker process; it grows with each start. */
  agentEpoch: number;
  /** Number of the heartbeat within its agent epoch. */
  sequenceNumber: number;
  /** The highest fencing token that the worker has seen. */
  fencingToken: number;
  /** Time until the cloud takes the machine; null without a notice. */
  preemptionNotice: Duration | null;
  tasks: TaskStatus[];
}

/** A command for one task on a worker. */
export type WorkerCommand =
  | { op: 'start'; task: string; attempt: number }
  | { op: 'stop'; task: string; attempt: number; gracePeriod: Duration }
  | { op: 'forget'; task: string; attempt: number };

/** A kind of machine as the catalog describes it. Also a stored form, so field names stay. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Room for images. */
  cacheGb: number;
  fetchGbPerS: number;
  /** Price per hour. */
  price: number;
  /** Price per hour of a spot machine. */
  spotPrice: number;
  /** Time from a rental until the worker reports. */
  boot: Duration;
  zones: string[];
}

/** A machine in the cloud's list. */
export interface ListedMachine {
  id: string;
  /** Empty until it has one. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time since it was rented. */
  age: Duration;
}

/** `run-000412/3`: the fourth task of a job, as indices begin at 0. */
export const taskId = (job: string, index: number): string => `${job}/${index}`;

/** Job and index of a task id; null for anything else. */
export function splitTaskId(task: string): { job: string; index: number } | null {
  const [, job, index] = /^(.+)\/(\d{1,6})$/.exec(task) ?? [];
  return job === undefined ? null : { job, index: Number(index) };
}
