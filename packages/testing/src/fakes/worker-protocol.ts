/** What passes between a fake worker and its surroundings. */
import type { CallResult } from '@tealdock/controller';
import type { FakeWorker } from './fake-worker.js';

/** A task on a worker, as its heartbeats show it. */
export interface WorkerTask {
  piece: string;
  try_no: number;
  status: 'pulling' | 'running' | 'exited';
  reason?: string;
  endsAt: number;
}

/** One command of a controller to a worker. */
export interface WireCommand {
  verb: 'start' | 'kill' | 'forget';
  piece: string;
  try_no: number;
}

/** What a controller sends to a worker's own address. */
export interface WireCommands {
  fence?: number;
  shift?: number;
  orders?: WireCommand[];
}

/** A controller's response to a heartbeat. */
export interface WireHeartbeatResponse {
  fence?: number;
  orders?: WireCommand[];
  upstream?: string;
}

/** The image that a task needs. */
export interface TaskImage {
  name: string;
  gb: number;
  /** What is fetched of it in a second. */
  gbPerS: number;
  /** Whether fetches at the same time share that rate. */
  shared: boolean;
}

/** What the simulated cluster does for a worker: carries its heartbeats and knows the jobs. */
export interface WorkerHost {
  now(): number;
  nodeNames: string[];
  heartbeatInterval: number;
  leaseDuration: number;
  /** Where direct commands to a machine go. */
  commandAddress(machine: string): string;
  /** How long a task runs; null if no such task is known. */
  runTimeOf(piece: string): number | null;
  /** The image that a task needs; null if it is on the machine. */
  imageOf(piece: string): TaskImage | null;
  /** Whether a task fails on a machine, in place of being done. */
  taskFails(piece: string, machine: string): boolean;
  /** The worker closes its connection to a node. */
  closeConnection(worker: FakeWorker, node: string): void;
  /** `done` is not called where no response comes. */
  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    body: unknown,
    done: (r: CallResult) => void,
  ): void;
  /** A task has started to run. */
  noteStart(piece: string, machine: string): void;
  /** A task that ran has ended. */
  noteEnd(piece: string, machine: string, reason: string): void;
}
