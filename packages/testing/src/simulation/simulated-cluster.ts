/** A whole cluster simulated in one process. */
import type { Duration, Instant, JobSpec } from '@tealdock/wire';
import type { Call, CallResult, Log, Random, Reply } from '@tealdock/controller';
import { RuleChecker } from '../checker/rule-checker.js';
import { freeCapacityOf } from '../checker/free-capacity.js';
import { FakeCloud } from '../fakes/fake-cloud.js';
import { FakeState } from '../fakes/fake-state.js';
import {
  DEFAULT_CPU_LIMIT,
  NODES,
  DEFAULT_TIMES,
  stateLimits,
  type ClusterOptions,
  type DeploymentTimes,
} from './cluster-options.js';
import { ControllerProcesses } from './controller-processes.js';
import { seededRandom } from './seeded-random.js';
import { SimulatedClock } from './simulated-clock.js';
import { SimulatedNetwork } from './simulated-network.js';
import { SimulatedUsers, type OnReply } from './simulated-users.js';
import { StateServiceLink } from './state-service-link.js';
import { WorkerFleet } from './worker-fleet.js';

const STEP_MS = 50;
/** How often the checker looks for jobs that wait although machines have free capacity. */
const CAPACITY_CHECK_INTERVAL_MS = 1000;
/** `request` returns null after this time without a reply. */
const REQUEST_TIMEOUT_MS = 500;
const DEFAULT_SEED = 1;
const DEFAULT_MACHINE_LIMIT = 4;

/** A log line of a controller. */
export interface LogLine {
  node: string;
  message: string;
  fields: Record<string, unknown>;
}

/**
 * Nodes, workers, users, state service, cloud and network in memory and in simulated time. A run is
 * reproducible from its seed.
 */
export class SimulatedCluster {
  readonly nodeNames = NODES;
  readonly times: DeploymentTimes;
  readonly random: Random;
  /** Every job that was submitted, by id. */
  readonly jobs = new Map<string, JobSpec>();
  /** The log of all nodes. */
  readonly logLines: LogLine[] = [];
  readonly state: FakeState;
  readonly cloud: FakeCloud;
  readonly checker: RuleChecker;
  readonly network = new SimulatedNetwork(() => this.fleet.workers.keys());
  readonly processes: ControllerProcesses;
  readonly stateLink: StateServiceLink;
  readonly fleet: WorkerFleet;
  readonly users: SimulatedUsers;
  private readonly clock = new SimulatedClock();

  constructor(readonly options: ClusterOptions = {}) {
    const { clock, network, jobs } = this;
    const now = () => clock.now();
    const { cpuLimit = DEFAULT_CPU_LIMIT, capacity = DEFAULT_MACHINE_LIMIT } = options;
    const cpuLimits = new Map(['team', 'other'].map((team) => [team, cpuLimit]));
    const times = options.times ?? DEFAULT_TIMES;
    this.times = times;
    this.random = seededRandom(options.seed ?? DEFAULT_SEED);
    this.state = new FakeState(now, options.limits);
    this.state.limits = stateLimits(options);
    this.cloud = new FakeCloud(now, capacity, (id) => this.fleet.removeMachine(id));
    const checker = new RuleChecker(now, cpuLimits, times.cancellationLimit);
    this.checker = checker;
    const processes = new ControllerProcesses({
      options,
      clock,
      network,
      random: this.random,
      logOf: (node) => this.logOf(node),
      route: (from, call, done) => this.route(from, call, done),
    });
    this.processes = processes;
    this.stateLink = new StateServiceLink(this.state, clock, (node) =>
      processes.runsOlderVersion(node),
    );
    this.fleet = new WorkerFleet({ options, times, clock, network, processes, checker, jobs });
    this.users = new SimulatedUsers(processes, checker, jobs);
    for (const name of NODES) this.boot(name);
  }

  /** The worker of each machine that is up. */
  get workers(): WorkerFleet['workers'] {
    return this.fleet.workers;
  }

  now(): Instant {
    return this.clock.now();
  }

  /** Schedules an event of the scenario. */
  at(delay: Duration, run: () => void): void {
    this.clock.after(delay, run);
  }

  /** Runs the cluster for this time. */
  run(duration: Duration): void {
    const end = this.now() + duration;
    while (this.now() < end) this.step();
  }

  /** Runs until the condition holds; returns false if it does not within the limit. */
  runUntil(condition: () => boolean, limit: Duration): boolean {
    const end = this.now() + limit;
    while (this.now() < end && !condition()) this.run(STEP_MS);
    return condition();
  }

  boot(name: string): void {
    this.processes.boot(name);
  }

  crash(name: string): void {
    this.processes.crash(name);
  }

  hang(name: string, isHung: boolean): void {
    this.processes.hang(name, isHung);
  }

  submit(job: Record<string, unknown>, node: string, done?: OnReply): void {
    this.users.submit(job, node, done);
  }

  poll(id: string, node: string, done?: OnReply): void {
    this.users.poll(id, node, done);
  }

  cancel(id: string, node: string, done?: OnReply): void {
    this.users.cancel(id, node, done);
  }

  /** Sends a request with an arbitrary body; returns its reply, or null if none comes in 500 ms. */
  request(node: string, method: string, path: string, body: Buffer): Reply | null {
    let reply: Reply | null = null;
    const request = { method, path, body, via: 'public' as const };
    this.processes.request(node, request, (r) => (reply = r));
    this.run(REQUEST_TIMEOUT_MS);
    return reply;
  }

  /** Name of the node in the leader key of the state service; null if there is no such key. */
  leader(): string | null {
    const leaderKey = [...this.state.keys.values()].find(
      (entry) => typeof (entry.v as { nonce?: string } | null)?.nonce === 'string',
    );
    return leaderKey ? (leaderKey.v as { member: string }).member : null;
  }

  /** Makes the state service enforce the announced limits; the nodes are not notified. */
  lowerStateLimits(): void {
    this.state.limits = stateLimits(this.options, this.options.announcedLimits);
  }

  /**
   * Ends all faults and restarts stopped nodes. From now on the checker reports jobs that get no
   * answer or wait although machines have free capacity.
   */
  endFaults(): void {
    this.network.cuts.clear();
    this.state.refusedNodes.clear();
    this.stateLink.clearFaults();
    if (this.state.down) this.state.restore();
    this.fleet.clearFaults();
    for (const name of NODES) {
      if (!this.processes.running.has(name)) this.boot(name);
      this.hang(name, false);
    }
    this.checker.noteFaultsEnded();
  }

  private step(): void {
    this.clock.advance(STEP_MS);
    this.state.tick();
    this.fleet.tick(this.cloud.machines.values());
    this.processes.processBatches();
    this.checker.check();
    if (this.now() % CAPACITY_CHECK_INTERVAL_MS === 0) {
      this.checker.checkFreeCapacity(freeCapacityOf(this.workers.values(), this.jobs));
    }
  }

  private logOf(node: string): Log {
    return (_level, fields, message) => void this.logLines.push({ node, message, fields });
  }

  /** Delivers a node's call to its target; a lost call gets its result after its timeout. */
  private route(from: string, call: Call, done: (result: CallResult) => void): void {
    const lost = () => this.clock.after(call.timeout, () => done({ kind: 'lost' }));
    if (call.target === 'peer') return this.forwardToPeer(from, call, done, lost);
    if (call.target === 'worker') return this.fleet.sendCommands(from, call, done, lost);
    if (this.network.isCut(from, call.target)) return lost();
    if (call.target === 'cloud') return done(this.cloud.handle(call.path, call.body));
    this.stateLink.send(from, call, done, lost);
  }

  private forwardToPeer(
    from: string,
    { to, method, path, body }: Call,
    done: (result: CallResult) => void,
    lost: () => void,
  ): void {
    if (this.network.isCut(from, to)) return lost();
    const request = { method, path, body: body as Buffer, via: 'peer' as const };
    this.processes.request(to, request, (reply) =>
      reply ? done({ kind: 'answer', status: reply.status, body: reply.body }) : lost(),
    );
  }
}
