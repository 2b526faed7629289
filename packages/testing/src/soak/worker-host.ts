/** Workers of a soak: they send heartbeats over real connections, and are commanded over their own. */
import type { CallResult } from '@tealdock/controller';
import { HttpClient } from '@tealdock/adapters';
import type { Duration, Instant, JobSpec } from '@tealdock/wire';
import type { CloudMachine } from '../fakes/fake-cloud.js';
import { FakeWorker } from '../fakes/fake-worker.js';
import type { WireCommands, WorkerHost, WorkerTask } from '../fakes/worker-protocol.js';
import type { RuleChecker } from '../checker/rule-checker.js';
import { closeStandIn, serveStandIn, type Listening } from './stand-in-server.js';
import { NODES, type SiteTimes } from './site-times.js';
import { LOOPBACK } from './loopback.js';

/** Longer than a worker waits, so that it is the worker that gives up. */
const CALL_TIMEOUT_MS: Duration = 8000;

/** What befalls the traffic of one machine. */
export interface MachineFaults {
  /** Heartbeats leave, and no answer comes. */
  responsesLost: boolean;
  /** Heartbeats don't leave. */
  heartbeatsLost: boolean;
  /** No connection for a heartbeat can be opened. */
  heartbeatsRefused: boolean;
  /** Direct commands arrive only after this is over, in order. */
  commandsHeld: boolean;
  /** What an answer takes beyond the usual. */
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
  server: Listening;
  client: HttpClient;
  faults: MachineFaults;
  heldCommands: (() => void)[];
}

const jobOf = (piece: string): string => piece.split('/')[0] ?? '';

/** What the workers of a site share with the rest of it. */
interface WorkerSite {
  now: () => Instant;
  times: SiteTimes;
  checker: RuleChecker;
  jobs: ReadonlyMap<string, JobSpec>;
  /** Port of each controller's public address, by the name of the node. */
  ports: ReadonlyMap<string, number>;
}

/** Carries the heartbeats and commands of all workers, and tells the checker what runs where. */
export class SoakWorkers implements WorkerHost {
  readonly nodeNames = [...NODES];
  readonly heartbeatInterval: Duration;
  readonly leaseDuration: Duration;
  /** How long heartbeats waited for their answers. */
  readonly responseTimes: Duration[] = [];
  /** When the last task of each job left its machine. */
  readonly lastEndByJob = new Map<string, Instant>();
  private readonly machines = new Map<string, SoakMachine>();
  private readonly starting = new Set<string>();

  constructor(private readonly site: WorkerSite) {
    this.heartbeatInterval = site.times.heartbeatInterval;
    this.leaseDuration = site.times.lease;
  }

  now(): Instant {
    return this.site.now();
  }

  get names(): string[] {
    return [...this.machines.keys()];
  }

  get running(): number {
    return this.runningTasks().length;
  }

  /** Jobs of which a task runs. */
  runningJobs(): Set<string> {
    return new Set(this.runningTasks().map((t) => jobOf(t.piece)));
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

  /** The machine and all on it are gone. */
  drop(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    for (const t of machine.worker.tasks)
      if (t.status === 'running') this.noteEnd(t.piece, id, 'gone');
    machine.worker.isGone = true;
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
    if (!machine.faults.commandsHeld) for (const go of machine.heldCommands.splice(0)) go();
  }

  endFaults(): void {
    for (const [id, { worker }] of this.machines) {
      this.setFaults(id, NO_FAULTS);
      worker.isHung = false;
    }
  }

  close(): void {
    for (const id of this.names) this.drop(id);
  }

  private command(id: string, body: unknown, done: (result: CallResult) => void): void {
    const machine = this.machines.get(id);
    if (!machine) return done({ kind: 'lost' });
    const carryOut = () => machine.worker.receiveCommands(body as WireCommands, done);
    if (machine.faults.commandsHeld) machine.heldCommands.push(carryOut);
    else carryOut();
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
    const port = this.site.ports.get(node);
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
    const job = this.site.jobs.get(jobOf(piece));
    return job?.estimate ?? null;
  }

  imageOf(): null {
    return null;
  }

  taskFails(): boolean {
    return false;
  }

  noteStart(piece: string, machine: string): void {
    this.site.checker.noteStart(piece, machine);
  }

  noteEnd(piece: string, machine: string, reason: string): void {
    this.lastEndByJob.set(jobOf(piece), this.now());
    this.site.checker.noteEnd(piece, machine, reason);
  }
}
