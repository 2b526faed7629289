/** Messages between a fake worker and the controllers, and the environment it needs. */
import type { CallResult } from '@tealdock/controller';
import type { FakeWorker } from './fake-worker.js';

/** A task attempt on a worker, with the field names of its heartbeats. */
export interface WorkerTask {
  piece: string;
  try_no: number;
  status: 'pulling' | 'running' | 'exited';
  /** Why it has exited. */
  reason?: string;
  /** When it is done, in ms; 0 until it runs. */
  endsAt: number;
}

/** A controller's command about one task attempt. */
export interface WireCommand {
  verb: 'start' | 'kill' | 'forget';
  piece: string;
  try_no: number;
}

/** Body of `POST /commands`, which a controller sends directly to a worker. */
export interface WireCommands {
  fence?: number;
  shift?: number;
  orders?: WireCommand[];
}

/** Body of the response to a heartbeat; `upstream` is the node to which a 421 redirects. */
export interface WireHeartbeatResponse {
  fence?: number;
  orders?: WireCommand[];
  upstream?: string;
}

/** The image that a task needs. */
export interface TaskImage {
  name: string;
  gb: number;
  /** Fetch rate of the machine in GB per second. */
  gbPerS: number;
  /** Whether concurrent fetches share that rate. */
  shared: boolean;
}

/** A fake worker's environment: it delivers heartbeats, knows the jobs and records task events. */
export interface WorkerHost {
  now(): number;
  nodeNames: string[];
  heartbeatInterval: number;
  leaseDuration: number;
  /** Address for direct commands to a machine. */
  commandAddress(machine: string): string;
  /** Run time of a task in ms; null if the task is unknown. */
  runTimeOf(piece: string): number | null;
  /** The image that a task must fetch; null if it need not fetch any. */
  imageOf(piece: string): TaskImage | null;
  /** Whether a task ends with an error on a machine. */
  taskFails(piece: string, machine: string): boolean;
  /** Closes the worker's connection to a node. */
  closeConnection(worker: FakeWorker, node: string): void;
  /** Sends a heartbeat; `done` is not called if the heartbeat or its response is lost. */
  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    body: unknown,
    done: (r: CallResult) => void,
  ): void;
  /** Records that a task has started to run. */
  noteStart(piece: string, machine: string): void;
  /** Records that a task has ended. */
  noteEnd(piece: string, machine: string, reason: string): void;
}
