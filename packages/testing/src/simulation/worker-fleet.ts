/** The workers of a simulated cluster, and the delivery of their heartbeats. */
import { MAX_BODY_BYTES, packBody, type Duration, type JobSpec } from '@tealdock/wire';
import type { Call, CallResult, Reply } from '@tealdock/controller';
import type { CloudMachine } from '../fakes/fake-cloud.js';
import { FakeWorker } from '../fakes/fake-worker.js';
import type {
  TaskImage,
  WireCommands,
  WireHeartbeatResponse,
  WorkerHost,
} from '../fakes/worker-protocol.js';
import type { RuleChecker } from '../checker/rule-checker.js';
import { NODES, type ClusterOptions, type DeploymentTimes } from './cluster-options.js';
import { ONE_WAY_LATENCY_MS, type ControllerProcesses } from './controller-processes.js';
import type { SimulatedClock } from './simulated-clock.js';
import type { SimulatedNetwork } from './simulated-network.js';

const HEARTBEAT_PATH = '/hello';

/** Options and environment of the workers. */
export interface FleetOptions {
  /** Read for each task, so that a test can change them at run time. */
  options: ClusterOptions;
  times: DeploymentTimes;
  clock: SimulatedClock;
  network: SimulatedNetwork;
  processes: ControllerProcesses;
  checker: RuleChecker;
  jobs: ReadonlyMap<string, JobSpec>;
}

/** Runs a worker on each machine that has booted, and delivers its heartbeats and commands. */
export class WorkerFleet implements WorkerHost {
  readonly nodeNames = NODES;
  readonly heartbeatInterval: Duration;
  readonly leaseDuration: Duration;
  /** The worker of each running machine, by machine id. */
  readonly workers = new Map<string, FakeWorker>();
  /** Additional one-way latency of heartbeats and of their responses, not of direct commands. */
  extraLatency: Duration = 0;
  /**
   * Chooses for each heartbeat the delay after which a copy of it arrives; null for no copy. The
   * response to a copy is discarded.
   */
  duplicateDelay: (() => Duration | null) | null = null;
  /** Chooses the node at which a copy arrives; null for the node of the heartbeat. */
  duplicateTarget: (() => string | null) | null = null;
  /**
   * Chooses for each answer and each direct command that reaches a machine the delay after which a
   * copy of it arrives there; null for no copy.
   */
  lateCopyDelay: (() => Duration | null) | null = null;
  /** Copies of answers and direct commands that reached a machine. */
  lateCopyCount = 0;
  /** Heartbeats, answers and direct commands that exceed the size limit; none is delivered. */
  oversizedCount = 0;
  /** Calls with direct commands that reached a machine. */
  directCommandCount = 0;

  constructor(private readonly context: FleetOptions) {
    this.heartbeatInterval = context.times.heartbeatInterval;
    this.leaseDuration = context.times.lease;
  }

  now(): number {
    return this.context.clock.now();
  }

  /** Starts a worker on each machine that has booted since, and advances every worker. */
  tick(machines: Iterable<CloudMachine>): void {
    for (const machine of machines) {
      if (machine.readyAt <= this.now() && !this.workers.has(machine.id)) {
        this.workers.set(machine.id, new FakeWorker(this, machine));
      }
    }
    for (const worker of this.workers.values()) worker.tick();
  }

  /** Terminates a machine and its running tasks. */
  removeMachine(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    for (const task of worker.tasks) {
      if (task.status === 'running') this.noteEnd(task.piece, id, 'gone');
    }
    worker.isTerminated = true;
    this.workers.delete(id);
  }

  clearFaults(): void {
    this.duplicateDelay = this.duplicateTarget = this.lateCopyDelay = null;
    this.extraLatency = 0;
    for (const worker of this.workers.values()) worker.isHung = false;
  }

  /** Delivers direct commands; a hung machine executes them later, one that is cut off never. */
  sendCommands(
    from: string,
    call: Call,
    done: (result: CallResult) => void,
    lost: () => void,
  ): void {
    const id = call.to.split(':')[0]!;
    const worker = this.workers.get(id);
    if (!worker || this.context.network.isCut(from, id)) return lost();
    if (this.isOversized(call.body)) return lost();
    this.directCommandCount++;
    const commands = call.body as WireCommands;
    worker.receiveCommands(commands, done);
    this.scheduleLateCopy(() => worker.receiveCommands(commands, () => undefined));
  }

  commandAddress(machine: string): string {
    return `${machine}:1`;
  }

  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    body: unknown,
    done: (r: CallResult) => void,
  ): void {
    const { network, processes, clock } = this.context;
    const id = worker.machine.id;
    const { agentEpoch } = worker;
    if (network.isCut(id, node)) return;
    this.scheduleDuplicate(node, body);
    const latency = ONE_WAY_LATENCY_MS + this.extraLatency;
    const respond = ({ status, body: content }: Reply) => {
      if (this.isOversized(content)) return;
      clock.after(ONE_WAY_LATENCY_MS + this.extraLatency, () => {
        done({ kind: 'answer', status, body: content });
        const answer = content as WireHeartbeatResponse;
        if (status === 200)
          this.scheduleLateCopy(() => worker.receiveAnswerCopy(answer, agentEpoch));
      });
    };
    if (this.isOversized(body)) return respond({ status: 400, body: {} });
    clock.after(latency, () => {
      const connection = processes.running.get(node)?.sockets.request(id, 'worker');
      if (connection === 'rejected') return respond({ status: 503, body: {} });
      this.postHeartbeat(node, packBody(body), (reply) => {
        connection?.markAnswered();
        if (reply && !network.isCut(node, id)) respond(reply);
      });
    });
  }

  /** Closes a worker's connection to a node; a terminated machine leaves its connection open. */
  closeConnection(worker: FakeWorker, node: string): void {
    this.context.processes.running.get(node)?.sockets.closeConnectionOf(worker.machine.id);
  }

  runTimeOf(piece: string): Duration | null {
    const { options, jobs } = this.context;
    const spec = jobs.get(piece.split('/')[0]!);
    return spec ? (options.runTimeOf?.(piece) ?? options.runTime ?? spec.estimate) : null;
  }

  imageOf(piece: string): TaskImage | null {
    const { options, jobs } = this.context;
    const spec = jobs.get(piece.split('/')[0]!);
    return spec && options.fetches
      ? { name: spec.image, gb: spec.imageGb, ...options.fetches }
      : null;
  }

  taskFails(piece: string, machine: string): boolean {
    return this.context.options.fails?.(piece, machine) ?? false;
  }

  noteStart(piece: string, machine: string): void {
    this.context.checker.noteStart(piece, machine);
  }

  noteEnd(piece: string, machine: string, reason: string): void {
    this.context.checker.noteEnd(piece, machine, reason);
  }

  private scheduleLateCopy(deliver: () => void): void {
    const delay = this.lateCopyDelay?.() ?? null;
    if (delay === null) return;
    this.context.clock.after(delay, () => {
      this.lateCopyCount++;
      deliver();
    });
  }

  /** Whether a message exceeds the size limit, which the protocol counts in the JSON form. */
  private isOversized(body: unknown): boolean {
    const isTooLong = Buffer.byteLength(JSON.stringify(body)) > MAX_BODY_BYTES;
    if (isTooLong) this.oversizedCount++;
    return isTooLong;
  }

  private scheduleDuplicate(node: string, body: unknown): void {
    const delay = this.duplicateDelay?.() ?? null;
    if (delay === null) return;
    const copy = packBody(body);
    this.context.clock.after(delay, () => {
      this.postHeartbeat(this.duplicateTarget?.() ?? node, copy, () => undefined);
    });
  }

  private postHeartbeat(node: string, body: Buffer, done: (reply: Reply | null) => void): void {
    const request = { method: 'POST', path: HEARTBEAT_PATH, body, via: 'public' as const };
    this.context.processes.request(node, request, done);
  }
}
