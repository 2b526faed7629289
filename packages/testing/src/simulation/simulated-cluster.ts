/** A whole cluster in one process and in simulated time. */
import {
  packBody,
  parseOperatorSettings,
  parseSubmission,
  type JobSpec,
  type Settings,
  type LeaderBroadcast,
} from '@tealdock/wire';
import {
  Controller,
  Stats,
  type Call,
  type CallResult,
  type Command,
  type Effect,
  type Random,
  type Reply,
} from '@tealdock/controller';
import { CallGates, CommandQueue } from '@tealdock/adapters';
import {
  NODES,
  USUAL_TIMES,
  settingsFor,
  type ClusterOptions,
  type DeploymentTimes,
} from './cluster-options.js';
import { CutNetwork } from './cut-network.js';
import { EventQueue } from './event-queue.js';
import { FakeCloud } from '../fakes/fake-cloud.js';
import { FakeSockets } from '../fakes/fake-sockets.js';
import { FakeState, type StateCaps } from '../fakes/fake-state.js';
import { FakeWorker, type WireCommands, type WorkerHost } from '../fakes/fake-worker.js';
import { roomsOf } from '../checker/free-capacity.js';
import { RuleChecker } from '../checker/rule-checker.js';
import { seededRandom } from './seeded-random.js';

const STEP = 50;
const HALF_TRIP = 5;
const LATE = 9000;
/** Rooms and questions are looked at this often. */
const LOOK_EVERY = 1000;
const TODAY = Date.UTC(2026, 0, 1);

/** A call that is lost before or after it is carried out, or is carried out (so much) later. */
type StateFault = 'lost_before' | 'lost_after' | 'late' | number;

interface Node {
  name: string;
  controller: Controller;
  queue: CommandQueue;
  replies: Map<number, (reply: Reply) => void>;
  lastRequest: number;
  /** Processes are told apart, so that answers to a dead one reach no other. */
  life: number;
  hung: boolean;
  sockets: FakeSockets;
  gates: CallGates | null;
}

/** Everything in memory and in simulated time: nodes, workers, state, cloud, network. */
export class SimulatedCluster extends CutNetwork implements WorkerHost {
  readonly nodes = NODES;
  readonly times: DeploymentTimes;
  readonly heartbeatInterval: number;
  readonly lease: number;
  readonly state: FakeState;
  readonly cloud: FakeCloud;
  readonly checker: RuleChecker;
  readonly random: Random;
  readonly workers = new Map<string, FakeWorker>();
  readonly alive = new Map<string, Node>();
  readonly log: { node: string; message: string; fields: Record<string, unknown> }[] = [];
  /** What a state call of a node comes to instead; undefined leaves it alone. */
  stateFault: ((node: string, call: Call) => StateFault | undefined) | null = null;
  readonly jobs = new Map<string, JobSpec>();
  /** By how much longer an answer of the state service takes. */
  stateDelay: (() => number) | null = null;
  /** After what time a copy of a report arrives once more, if at all; nobody gets its answer. */
  copyDelay: (() => number | null) | null = null;
  /** Where such a copy arrives, if not where the report went. */
  copyTo: (() => string | null) | null = null;
  /** What the way between a worker and a node takes beyond the usual. */
  linkDelay = 0;
  /** Nodes that run as the version before job chains does, as far as others can see. */
  private readonly older = new Set<string>();
  /** Transactions of nodes of the current version that the state service found too large. */
  tooLarge = 0;
  /** Direct commands that reached a machine. */
  commands = 0;
  private clock = 0;
  private readonly events = new EventQueue(() => this.clock);
  private lives = 0;

  constructor(readonly options: ClusterOptions = {}) {
    super();
    this.times = options.times ?? USUAL_TIMES;
    this.heartbeatInterval = this.times.heartbeatInterval;
    this.lease = this.times.lease;
    this.random = seededRandom(options.seed ?? 1);
    this.state = new FakeState(() => this.clock, options.limits);
    this.state.caps = this.caps();
    this.cloud = new FakeCloud(
      () => this.clock,
      options.capacity ?? 4,
      (id) => this.dropWorker(id),
    );
    const limit = options.cpuLimit ?? 100;
    const limits = new Map([
      ['team', limit],
      ['other', limit],
    ]);
    this.checker = new RuleChecker(() => this.clock, limits, this.times.cancellationLimit);
    for (const name of NODES) this.boot(name);
  }

  now(): number {
    return this.clock;
  }

  // --- time ------------------------------------------------------------------

  run(duration: number): void {
    const end = this.clock + duration;
    while (this.clock < end) {
      this.clock += STEP;
      this.events.runDue();
      this.state.tick();
      this.bootWorkers();
      for (const worker of this.workers.values()) worker.tick();
      for (const node of this.alive.values()) {
        node.sockets.tick();
        this.turn(node);
      }
      this.checker.check();
      if (this.clock % LOOK_EVERY === 0)
        this.checker.checkRooms(roomsOf(this.workers.values(), this.jobs));
    }
  }

  /** Runs until the condition holds; false if it does not within the limit. */
  runUntil(condition: () => boolean, limit: number): boolean {
    const end = this.clock + limit;
    while (this.clock < end && !condition()) this.run(STEP);
    return condition();
  }

  at(delay: number, run: () => void): void {
    this.events.after(delay, run);
  }

  // --- nodes -----------------------------------------------------------------

  /**
   * Starts a node as the version before job chains: it knows nothing of limits to come and
   * does not write when a job ended. Users ask it for nothing that is new.
   */
  bootOlder(name: string): void {
    this.older.add(name);
    this.start(name, this.caps());
  }

  boot(name: string): void {
    this.older.delete(name);
    this.start(name, this.caps(this.options.next));
  }

  private start(name: string, caps: StateCaps): void {
    const { cpuLimit, guarantee, believedLease } = this.options;
    const settings = settingsFor(name, cpuLimit ?? 100, guarantee, this.times);
    settings.workerLeaseDuration = believedLease ?? this.times.lease;
    settings.state = { ...settings.state, ...caps };
    const { limits } = this.options;
    settings.maxConnections = limits?.sockets ?? settings.maxConnections;
    if (limits) settings.state = { ...settings.state, ...limits };
    const operator = parseOperatorSettings(
      `[leadership]\nlease_s = ${this.times.leaderLease / 1000}\n`,
    );
    const log = (_level: string, fields: Record<string, unknown>, message: string) =>
      void this.log.push({ node: name, message, fields });
    const controller = new Controller({
      settings,
      operator,
      random: this.random,
      log,
      stats: new Stats(),
    });
    const life = ++this.lives;
    const node = {
      name,
      controller,
      queue: new CommandQueue(),
      replies: new Map(),
      lastRequest: 0,
      life,
      hung: false,
      sockets: new FakeSockets(settings, () => this.clock),
      gates: limits ? this.gatesFor(settings) : null,
    };
    this.alive.set(name, node);
  }

  /** The limits that hold, or the lower of these and others. */
  private caps(next?: StateCaps): StateCaps {
    const { maxValueBytes = 4096, maxTransactionWrites = 8 } = this.options;
    return {
      maxValueBytes: Math.min(maxValueBytes, next?.maxValueBytes ?? Infinity),
      maxTransactionWrites: Math.min(maxTransactionWrites, next?.maxTransactionWrites ?? Infinity),
    };
  }

  /** The state service lowers its limits, without notice. */
  lowerLimits(): void {
    this.state.caps = this.caps(this.options.next);
  }

  private gatesFor(settings: Settings): CallGates {
    return new CallGates(settings, {
      now: () => this.clock,
      wake: (delay, run) => this.at(delay, run),
    });
  }

  /** The most sockets that a living process has held, its own calls included. */
  mostSockets(): number {
    return Math.max(...[...this.alive.values()].map((node) => node.sockets.most));
  }

  /** Requests that found no socket at the living processes. */
  turnedAway(): number {
    return [...this.alive.values()].reduce((sum, node) => sum + node.sockets.turnedAway, 0);
  }

  crash(name: string): void {
    this.alive.delete(name);
  }

  hang(name: string, hung: boolean): void {
    const node = this.alive.get(name);
    if (node) node.hung = hung;
  }

  /** Name of the node that last said it leads, if it still runs. */
  leader(): string | null {
    const held = [...this.state.keys.values()].find(
      (e) => typeof (e.v as { nonce?: string } | null)?.nonce === 'string',
    );
    return held ? (held.v as { member: string }).member : null;
  }

  private turn(node: Node): void {
    if (node.hung) return;
    const batch = node.queue.take();
    const today = new Date(TODAY + this.clock);
    for (const effect of node.controller.process(batch, this.clock, today)) {
      this.carryOut(node, effect);
    }
  }

  private push(node: Node, command: Command): void {
    if (this.alive.get(node.name)?.life === node.life) node.queue.push(command);
  }

  private carryOut(node: Node, effect: Effect): void {
    if (effect.kind === 'reply') this.reply(node, effect.id, effect.reply);
    else if (effect.kind === 'heartbeat') this.heartbeat(node, effect);
    else if (effect.kind === 'broadcast') this.broadcast(node, effect.message);
    else if (effect.kind === 'set_write_fraction') node.gates?.setWriteFraction(effect.fraction);
    else {
      this.options.observer?.call(this.clock, node.name, effect.id, effect.call);
      const done = (result: CallResult) =>
        this.at(HALF_TRIP, () => this.returnResult(node, effect.id, result));
      const send = () => this.at(HALF_TRIP, () => this.call(node.name, effect.call, done));
      if (node.gates) node.gates.pass(effect.call, send, () => done({ kind: 'unsent' }));
      else send();
    }
  }

  private returnResult(node: Node, id: number, result: CallResult): void {
    this.options.observer?.result(this.clock, node.name, id, result);
    this.push(node, { kind: 'result', id, result });
  }

  private reply(node: Node, id: number, reply: Reply): void {
    this.options.observer?.reply(this.clock, node.name, id, reply);
    const respond = node.replies.get(id);
    node.replies.delete(id);
    const late = reply.validUntil !== undefined && this.clock >= reply.validUntil;
    respond?.(late ? { status: 503, body: {} } : reply);
  }

  private heartbeat(node: Node, heartbeat: Extract<Effect, { kind: 'heartbeat' }>): void {
    const message = { ...heartbeat, member: node.name };
    for (const other of this.alive.values()) {
      if (other === node || this.cut(node.name, other.name)) continue;
      this.options.observer?.frame(this.clock, node.name, other.name, message);
      this.push(other, message);
    }
  }

  private broadcast(node: Node, message: LeaderBroadcast): void {
    for (const other of this.alive.values()) {
      if (other !== node && !this.cut(node.name, other.name)) {
        this.options.observer?.frame(this.clock, node.name, other.name, message);
        this.push(other, { kind: 'leader_broadcast', message });
      }
    }
  }

  private call(from: string, call: Call, done: (result: CallResult) => void): void {
    const lost = () => this.at(call.timeout, () => done({ kind: 'lost' }));
    if (call.target === 'peer') return this.relay(from, call, done);
    if (call.target === 'worker') return this.command(from, call, done);
    if (this.cut(from, call.target)) return lost();
    if (call.target === 'cloud') return done(this.cloud.handle(call.path, call.body));
    this.askState(from, call, done, lost);
  }

  /** A call to the state service, with whatever befalls it on its way. */
  private askState(
    from: string,
    call: Call,
    done: (result: CallResult) => void,
    lost: () => void,
  ): void {
    if (this.older.has(from)) withoutEndTimes(call);
    const fault = this.stateFault?.(from, call);
    if (fault === 'lost_before') return lost();
    const ask = (answer: (result: CallResult) => void) => {
      const refusals = this.state.refusals;
      this.state.handle(call.method, call.path, call.body, answer, from);
      if (!this.older.has(from)) this.tooLarge += this.state.refusals - refusals;
    };
    if (fault === 'late' || typeof fault === 'number') {
      this.at(fault === 'late' ? LATE : fault, () => ask(() => undefined));
      return lost();
    }
    if (fault === 'lost_after') return ask(lost);
    const slow = this.stateDelay?.() ?? 0;
    if (slow >= call.timeout) return ask(lost);
    ask(slow > 0 ? (result) => this.at(slow, () => done(result)) : done);
  }

  /** To a worker's own address: held up where the machine hangs, lost where it is cut off. */
  private command(from: string, call: Call, done: (result: CallResult) => void): void {
    const lost = () => this.at(call.timeout, () => done({ kind: 'lost' }));
    const id = call.to.split(':')[0]!;
    const worker = this.workers.get(id);
    if (!worker || this.cut(from, id)) return lost();
    this.commands++;
    worker.commands(call.body as WireCommands, done);
  }

  private relay(from: string, call: Call, done: (result: CallResult) => void): void {
    const lost = () => this.at(call.timeout, () => done({ kind: 'lost' }));
    if (this.cut(from, call.to)) return lost();
    const { method, path } = call;
    this.ask(call.to, 'peer', method, path, call.body as Buffer, (reply) =>
      reply ? done({ kind: 'answer', status: reply.status, body: reply.body }) : lost(),
    );
  }

  private ask(
    name: string,
    via: 'public' | 'peer',
    method: string,
    path: string,
    body: Buffer,
    done: (reply: Reply | null) => void,
  ): void {
    const node = this.alive.get(name);
    if (!node) return done(null);
    const id = ++node.lastRequest;
    node.replies.set(id, done);
    const request = { kind: 'request' as const, id, method, path, body, via };
    this.options.observer?.request(this.clock, name, request);
    this.push(node, request);
  }

  // --- workers ---------------------------------------------------------------

  carry(worker: FakeWorker, node: string, body: unknown, done: (r: CallResult) => void): void {
    const id = worker.machine.id;
    if (this.cut(id, node)) return;
    const delay = this.copyDelay?.() ?? null;
    if (delay !== null) {
      const copy = packBody(body);
      this.at(delay, () => {
        const to = this.copyTo?.() ?? node;
        this.ask(to, 'public', 'POST', '/hello', copy, () => undefined);
      });
    }
    const answer = (reply: Reply) =>
      this.at(HALF_TRIP + this.linkDelay, () =>
        done({ kind: 'answer', status: reply.status, body: reply.body }),
      );
    this.at(HALF_TRIP + this.linkDelay, () => {
      const line = this.alive.get(node)?.sockets.ask(id, 'worker');
      if (line === 'turned away') return answer({ status: 503, body: {} });
      this.ask(node, 'public', 'POST', '/hello', packBody(body), (reply) => {
        line?.answered();
        if (reply && !this.cut(node, id)) answer(reply);
      });
    });
  }

  /** The worker closes its connection to a node; a machine that dies closes nothing. */
  hangUp(worker: FakeWorker, node: string): void {
    this.alive.get(node)?.sockets.hangUp(worker.machine.id);
  }

  /** All faults are over: from now on nothing excuses a job that waits or is not known. */
  endFaults(): void {
    this.cuts.clear();
    this.state.refused.clear();
    this.stateFault = this.stateDelay = this.copyDelay = this.copyTo = null;
    this.linkDelay = 0;
    if (this.state.down) this.state.restore();
    for (const worker of this.workers.values()) worker.hanging = false;
    for (const name of NODES) {
      if (!this.alive.has(name)) this.boot(name);
      this.hang(name, false);
    }
    this.checker.noteFaultsEnded();
  }

  protected machineNames(): Iterable<string> {
    return this.workers.keys();
  }

  /** A connection from one node to another is refused. */
  refuse(from: string, to: string): void {
    const node = this.alive.get(from);
    if (node) this.push(node, { kind: 'peer_refused', member: to });
  }

  address(machine: string): string {
    return `${machine}:1`;
  }

  runTime(piece: string): number | null {
    const spec = this.jobs.get(piece.split('/')[0]!);
    const own = this.options.runTimeOf?.(piece);
    return spec ? (own ?? this.options.runTime ?? spec.estimate) : null;
  }

  imageOf(piece: string): { name: string; gb: number; gbPerS: number; shared: boolean } | null {
    const spec = this.jobs.get(piece.split('/')[0]!);
    const { fetches } = this.options;
    return spec && fetches ? { name: spec.image, gb: spec.imageGb, ...fetches } : null;
  }

  fails(piece: string, machine: string): boolean {
    return this.options.fails?.(piece, machine) ?? false;
  }

  started(piece: string, machine: string): void {
    this.checker.started(piece, machine);
  }

  ended(piece: string, machine: string, reason: string): void {
    this.checker.ended(piece, machine, reason);
  }

  private bootWorkers(): void {
    for (const m of this.cloud.machines.values()) {
      if (m.up <= this.clock && !this.workers.has(m.id)) {
        this.workers.set(m.id, new FakeWorker(this, m));
      }
    }
  }

  private dropWorker(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    for (const t of worker.tasks) if (t.status === 'running') this.ended(t.piece, id, 'gone');
    worker.gone = true;
    this.workers.delete(id);
  }

  // --- users -----------------------------------------------------------------

  submit(job: Record<string, unknown>, node: string, done?: (reply: Reply | null) => void): void {
    const spec = parseSubmission(job);
    this.jobs.set(spec.id, spec);
    this.checker.submitted(spec);
    this.userAsk(node, 'POST', '/api/jobs', job, spec.id, done);
  }

  /** A submission that must be refused: it fits no machine or lacks a field. */
  submitWrong(job: Record<string, unknown>, node: string, done?: (r: Reply | null) => void): void {
    const id = String(job['ref']);
    this.checker.mustRefuse(id);
    this.userAsk(node, 'POST', '/api/jobs', job, id, done);
  }

  poll(id: string, node: string, done?: (reply: Reply | null) => void): void {
    this.userAsk(node, 'GET', `/api/jobs/${id}`, null, id, done);
  }

  cancel(id: string, node: string, done?: (reply: Reply | null) => void): void {
    this.userAsk(node, 'POST', `/api/jobs/${id}/cancel`, null, id, done);
  }

  /** Any body at all, for what must be refused. */
  request(
    node: string,
    method: string,
    path: string,
    body: Buffer,
    done: (reply: Reply | null) => void,
  ): void {
    this.ask(node, 'public', method, path, body, done);
  }

  /** The answer to such a request, if it comes at once. */
  raw(node: string, method: string, path: string, body: Buffer): Reply | null {
    let answer: Reply | null = null;
    this.request(node, method, path, body, (reply) => (answer = reply));
    this.run(500);
    return answer;
  }

  private userAsk(
    node: string,
    method: string,
    path: string,
    body: unknown,
    id: string,
    done?: (reply: Reply | null) => void,
  ): void {
    const answered = this.checker.question(id);
    const line = this.alive.get(node)?.sockets.ask(`user of ${id}`, 'user');
    if (line === 'turned away') return done?.({ status: 503, body: {}, retryAfter: 1000 });
    this.ask(node, 'public', method, path, packBody(body), (reply) => {
      line?.answered();
      if (reply) answered(reply.status, reply.body);
      done?.(reply);
    });
  }
}

/** The version before job chains stored an ended job without the time of its end. */
function withoutEndTimes({ path, body }: Call): void {
  if (path !== '/commit') return;
  const { writes } = body as { writes: { write?: string; v?: { at?: number } }[] };
  for (const { write, v } of writes) if (write?.includes('/ended/') && v) delete v.at;
}
