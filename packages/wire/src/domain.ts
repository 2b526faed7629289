/** The project's own terms for what the interfaces carry. */
declare global {
  /** The standard's type for steady instants and durations; Node's own typings leave it out. */
  type DOMHighResTimeStamp = number;
}

/** Standard terms used everywhere inside tealdock. Durations are milliseconds. */
export type Duration = DOMHighResTimeStamp;
/** A reading of the steady clock. */
export type Instant = DOMHighResTimeStamp;

/** How urgent a job is, from the highest to the lowest. */
export type Priority = 'production' | 'high' | 'normal' | 'low';

/** `gang`: all tasks run at the same time. `service`: runs until it is cancelled. */
export type JobKind = 'array' | 'gang' | 'service';

/** A job as its user described it. */
export interface JobSpec {
  id: string;
  kind: JobKind;
  jobClass: string;
  team: string;
  priority: Priority;
  taskCount: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimate: Duration;
  checkpoint: Duration;
  save: Duration;
  deadline: Duration | null;
  /** Jobs that have to be done before any task of this one starts; stored ones may lack it. */
  predecessors?: string[];
}

export const predecessorsOf = (spec: JobSpec): string[] => spec.predecessors ?? [];

/** How a job stands, as users are told. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** What users are told of a job. */
export interface JobView {
  id: string;
  state: JobState;
  done?: number;
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
  reason: ExitReason | null;
  saved: boolean;
}

/** A worker's report: all that is on its machine. */
export interface WorkerHeartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequenceNumber: number;
  fencingToken: number;
  preemptionNotice: Duration | null;
  tasks: TaskStatus[];
}

/** What a worker is told to do with one task. */
export type WorkerCommand =
  | { op: 'start'; task: string; attempt: number }
  | { op: 'stop'; task: string; attempt: number; gracePeriod: Duration }
  | { op: 'forget'; task: string; attempt: number };

/** A kind of machine as the catalog describes it. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  boot: Duration;
  zones: string[];
}

/** A machine in the cloud's list. */
export interface ListedMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  age: Duration;
}

/** `run-000412/3`: the third task of a job. */
export const taskId = (job: string, index: number): string => `${job}/${index}`;

/** Job and index of a task id; null for anything else. */
export function splitTaskId(task: string): { job: string; index: number } | null {
  const [, job, index] = /^(.+)\/(\d{1,6})$/.exec(task) ?? [];
  return job === undefined ? null : { job, index: Number(index) };
}
