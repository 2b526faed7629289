/** Workers of a soak: fake workers that send heartbeats and receive commands over real sockets. */
import type { CallResult } from '@tealdock/controller';
import { HttpClient } from '@tealdock/adapters';
import type { Duration, Instant, JobSpec } from '@tealdock/wire';
import type { CloudMachine } from '../fakes/fake-cloud.js';
import { FakeWorker } from '../fakes/fake-worker.js';
import type { WireCommands, WorkerHost, WorkerTask } from '../fakes/worker-protocol.js';
import type { RuleChecker } from '../checker/rule-checker.js';
import { closeStandIn, serveStandIn, type StandInServer } from './stand-in-server.js';
import { NODES, type SiteTimes } from './site-times.js';
import { LOOPBACK } from './loopback.js';

/** Longer than a worker waits for a response, so that the worker's timeout comes first. */
const CALL_TIMEOUT_MS: Duration = 8000;

/** Faults of the traffic of one machine. */
export interface MachineFaults {
  /** Heartbeats are sent, but their responses are lost. */
  responsesLost: boolean;
  /** Heartbeats are not sent, and the worker gets no result. */
  heartbeatsLost: boolean;
  /** Heartbeats fail immediately, as if the connection were refused. */
  heartbeatsRefused: boolean;
  /** Direct commands are queued and delivered in order when this fault ends. */
  commandsHeld: boolean;
  /** Additional delay of each heartbeat response. */
  responseDelay: Duration;
}

const NO_FAULTS: MachineFaults = {
  responsesLost: false,
  heartbeatsLost: false,
  heartbeatsRefused: false,
  commandsHeld: false,
  responseDelay: 0,
};

interface SoakMachine {
  worker: FakeWorker;
  server: StandInServer;
  client: HttpClient;
  faults: MachineFaults;
  heldCommands: (() => void)[];
}

const jobIdOf = (piece: string): string => piece.split('/')[0] ?? '';

/** The members of a site that its workers use. */
interface SoakWorkersOptions {
  now: () => Instant;
  times: SiteTimes;
  checker: RuleChecker;
  jobSpecs: ReadonlyMap<string, JobSpec>;
  /** Port of each controller's public address, by the controller's name. */
  httpPorts: ReadonlyMap<string, number>;
}

/** Carries the heartbeats and commands of all workers, and reports starts and ends of tasks. */
export class SoakWorkers implements WorkerHost {
  readonly nodeNames = [...NODES];
  readonly heartbeatInterval: Duration;
  readonly leaseDuration: Duration;
  /** Time from each heartbeat to its result, also for calls that failed. */
  readonly responseTimes: Duration[] = [];
  /** When a task of each job last ended. */
  readonly lastEndByJob = new Map<string, Instant>();
  private readonly machines = new Map<string, SoakMachine>();
  private readonly starting = new Set<string>();

  constructor(private readonly options: SoakWorkersOptions) {
    this.heartbeatInterval = options.times.heartbeatInterval;
    this.leaseDuration = options.times.lease;
  }

  now(): Instant {
    return this.options.now();
  }

  get machineIds(): string[] {
    return [...this.machines.keys()];
  }

  get runningTaskCount(): number {
    return this.runningTasks().length;
  }

  /** Ids of the jobs with a running task. */
  runningJobIds(): Set<string> {
    return new Set(this.runningTasks().map((t) => jobIdOf(t.piece)));
  }

  private runningTasks(): WorkerTask[] {
    const all = [...this.machines.values()].flatMap(({ worker }) => worker.tasks);
    return all.filter((t) => t.status === 'running');
  }

  worker(machine: string): FakeWorker | undefined {
    return this.machines.get(machine)?.worker;
  }

  async start(machine: CloudMachine): Promise<void> {
    if (this.machines.has(machine.id) || this.starting.has(machine.id)) return;
    this.starting.add(machine.id);
    const server = await serveStandIn((method, path, body, done) => {
      if (method === 'POST' && path === '/commands') this.command(machine.id, body, done);
      else done({ kind: 'answer', status: 404, body: {} });
    });
    this.machines.set(machine.id, {
      worker: new FakeWorker(this, machine),
      server,
      client: new HttpClient(1),
      faults: { ...NO_FAULTS },
      heldCommands: [],
    });
  }

  /** Removes a machine, which ends its running tasks. */
  removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    for (const t of machine.worker.tasks)
      if (t.status === 'running') this.noteEnd(t.piece, id, 'gone');
    machine.worker.isTerminated = true;
    this.machines.delete(id);
    machine.client.close();
    closeStandIn(machine.server);
  }

  tick(): void {
    for (const { worker } of this.machines.values()) worker.tick();
  }

  setFaults(id: string, faults: Partial<MachineFaults>): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    Object.assign(machine.faults, faults);
    if (!machine.faults.commandsHeld)
      for (const execute of machine.heldCommands.splice(0)) execute();
  }

  endFaults(): void {
    for (const [id, { worker }] of this.machines) {
      this.setFaults(id, NO_FAULTS);
      worker.isHung = false;
    }
  }

  close(): void {
    for (const id of this.machineIds) this.removeMachine(id);
  }

  private command(id: string, body: unknown, done: (result: CallResult) => void): void {
    const machine = this.machines.get(id);
    if (!machine) return done({ kind: 'lost' });
    const execute = () => machine.worker.receiveCommands(body as WireCommands, done);
    if (machine.faults.commandsHeld) machine.heldCommands.push(execute);
    else execute();
  }

  commandAddress(machine: string): string {
    return `${LOOPBACK}:${this.machines.get(machine)?.server.port ?? 1}`;
  }

  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    body: unknown,
    done: (r: CallResult) => void,
  ): void {
    const machine = this.machines.get(worker.machine.id);
    const port = this.options.httpPorts.get(node);
    if (!machine || port === undefined || machine.faults.heartbeatsLost) return;
    if (machine.faults.heartbeatsRefused) return done({ kind: 'unsent' });
    const sent = this.now();
    const call = { host: LOOPBACK, port, method: 'POST', path: '/hello', body };
    machine.client.send({ ...call, timeout: CALL_TIMEOUT_MS }, (result) => {
      if (machine.faults.responsesLost) return;
      this.responseTimes.push(this.now() - sent);
      if (machine.faults.responseDelay === 0) done(result);
      else setTimeout(() => done(result), machine.faults.responseDelay);
    });
  }

  closeConnection(worker: FakeWorker): void {
    const machine = this.machines.get(worker.machine.id);
    machine?.client.close();
  }

  runTimeOf(piece: string): number | null {
    const job = this.options.jobSpecs.get(jobIdOf(piece));
    return job?.estimate ?? null;
  }

  imageOf(): null {
    return null;
  }

  taskFails(): boolean {
    return false;
  }

  noteStart(piece: string, machine: string): void {
    this.options.checker.noteStart(piece, machine);
  }

  noteEnd(piece: string, machine: string, reason: string): void {
    this.lastEndByJob.set(jobIdOf(piece), this.now());
    this.options.checker.noteEnd(piece, machine, reason);
  }
}
