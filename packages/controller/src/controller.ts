import {
  CANCELLATIONS_PATH,
  HEALTH_PATH,
  REPORT_PATH,
  WireError,
  parseCancellations,
  parseReport,
  renderRedirect,
  renderReportAnswer,
  unpackBody,
  type Duration,
  type Instant,
  type Told,
  type WorkerReport,
} from '@tealdock/wire';
import { Catalog } from './machines/catalog.js';
import { JobCompletion } from './jobs/job-completion.js';
import { DirectStops } from './machines/direct-stops.js';
import { Autoscaler } from './autoscaling/autoscaler.js';
import { LongPolls } from './requests/long-polls.js';
import { hintsOf, useHints } from './peers/successor-hints.js';
import { DelegatedRenewal } from './leadership/delegated-renewal.js';
import { Leadership, type Held } from './leadership/leadership.js';
import { Peers } from './peers/peers.js';
import { Scheduler } from './placement/scheduler.js';
import type { Command, Effect } from './runtime/ports.js';
import { JobRequests } from './requests/job-requests.js';
import { Runtime, type Environment } from './runtime/runtime.js';
import { StateStore } from './state/state-store.js';
import { Term } from './term/term.js';

const STATS_PATH = '/metrics';
/** A new node is healthy once it can judge submissions, or after this long anyway. */
const START_PATIENCE = 6000;
const CHECK_EVERY = 1000;
const COUNTS_EVERY = 2000;
const MOST_COUNTS = 4000;
const HINTS_EVERY = 5000;
const MOST_UNPARKED = 64;
/** Workers give up after 4 s. */
const PARK = 2500;
/** A term is given this long to hear its first reports. */
const DEAF_GRACE = 12_000;

type Request = Extract<Command, { kind: 'request' }>;

/**
 * The one owner of all state of a process. Commands come in batches through
 * `process`; what is to be done outside goes out as effects.
 */
export class Controller {
  private readonly runtime: Runtime;
  private readonly state: StateStore;
  private readonly leadership: Leadership;
  private readonly catalog: Catalog;
  private readonly peers: Peers;
  private readonly requests: JobRequests;
  private readonly delegatedRenewal: DelegatedRenewal;
  private term: Term | null = null;
  private longPolls: LongPolls | null = null;
  /** Reports that wait for an election. */
  private readonly parked = new Map<number, { request: Request; report: WorkerReport }>();
  private startedAt: Instant | null = null;

  constructor(env: Environment) {
    this.runtime = new Runtime(env);
    this.state = new StateStore(this.runtime);
    this.leadership = new Leadership(
      this.runtime,
      this.state,
      (token) => this.begin(token),
      () => this.endTerm(),
    );
    this.catalog = new Catalog(this.runtime, this.state, this.leadership);
    this.peers = new Peers(this.runtime);
    this.requests = new JobRequests(
      this.runtime,
      this.state,
      this.catalog,
      this.peers,
      (id) => this.peers.countsOf(id),
      (id) => this.spreadCancellation(id),
    );
    this.delegatedRenewal = new DelegatedRenewal(
      this.runtime,
      this.state,
      this.leadership,
      this.peers,
      (job, done) => this.requests.prove(job, done),
    );
  }

  process(commands: Command[], now: Instant, today: Date): Effect[] {
    this.runtime.now = now;
    this.runtime.today = today;
    if (this.startedAt === null) this.start();
    for (const command of commands) this.apply(command);
    this.runtime.runDue();
    this.unpark();
    this.longPolls?.release();
    return this.runtime.takeEffects();
  }

  /** When the next batch is due even if no command comes. */
  nextDue(): Instant {
    return this.runtime.nextDue();
  }

  private start(): void {
    this.startedAt = this.runtime.now;
    this.leadership.start();
    this.catalog.start();
    this.peers.start(() => this.tellPeers());
    this.runtime.every(CHECK_EVERY, () => {
      this.resignIfDeaf();
      return true;
    });
    this.runtime.every(COUNTS_EVERY, () => {
      this.tellCounts();
      return true;
    });
    this.runtime.every(HINTS_EVERY, () => {
      this.tellHints();
      return true;
    });
  }

  private apply(command: Command): void {
    if (command.kind === 'result') this.runtime.settle(command.id, command.result);
    else if (command.kind === 'beat') this.peers.hear(command);
    else if (command.kind === 'told') this.peers.hearTold(command.message);
    else if (command.kind === 'refused') this.peers.noteRefused(command.member);
    else if (command.kind === 'request') this.route(command);
  }

  private tellPeers(): void {
    this.runtime.beat(this.leadership.leader ?? '', this.term?.fencingToken ?? 0, this.state.ok);
  }

  /** Counts for display: the leader tells the others, and users as well. */
  private tellCounts(): void {
    if (!this.term || !this.leadership.held()) return;
    const jobs = [...this.term.jobs.values()].slice(0, MOST_COUNTS).map((job) => ({
      id: job.id,
      done: job.doneCount,
      running: job.countRunning(),
    }));
    this.tell({ kind: 'counts', jobs });
  }

  /** What a successor may start from; nothing depends on its being right. */
  private tellHints(): void {
    if (!this.term?.ready || !this.leadership.held()) return;
    this.tell({ kind: 'hints', ...hintsOf(this.term) });
  }

  private tell(message: Told): void {
    this.runtime.tell(message);
    this.peers.hearTold(message);
  }

  // --- leadership ------------------------------------------------------------

  private begin(token: number): void {
    this.term?.close();
    this.longPolls?.release();
    const term = new Term(this.runtime, this.state, this.leadership, token);
    if (this.peers.hints) useHints(this.peers.hints, term);
    this.term = term;
    this.longPolls = new LongPolls(this.runtime, term, () => this.entitled());
    const types = () => this.catalog.types;
    const autoscaler = new Autoscaler(this.runtime, this.state, this.leadership, term, types);
    const scheduler = new Scheduler(
      this.runtime,
      term,
      types,
      (m, type) => autoscaler.price(m, type),
      () => autoscaler.rentable(),
      () => autoscaler.policy() === 'frugal',
    );
    term.start();
    new JobCompletion(this.runtime, this.state, this.leadership, term).start();
    new DirectStops(this.runtime, term, () => this.entitled() !== null).start();
    scheduler.start();
    autoscaler.start();
  }

  private endTerm(): void {
    this.runtime.env.log('info', { token: this.term?.fencingToken }, 'no longer leading');
    this.term?.close();
    this.longPolls?.release();
    this.term = null;
    this.longPolls = null;
  }

  /**
   * What allows an answer that renews a lease: leadership, and news of cancellations that
   * is fresh enough. A term that has not read what is live knows of none.
   */
  private entitled(): Held | null {
    const held = this.leadership.held();
    if (!held || !this.term?.loaded || this.term.watch.freshUntil <= this.runtime.now) return null;
    return { ...held, validUntil: Math.min(held.validUntil, this.term.watch.freshUntil) };
  }

  private spreadCancellation(id: string): void {
    this.term?.liveJobs.cancelled(id);
    this.peers.tellCancelled([id]);
  }

  /** A leader that workers can't reach makes way for one that they can. */
  private resignIfDeaf(): void {
    const term = this.term;
    if (!term || !this.leadership.held() || this.state.doubtful || !term.loaded) return;
    const silence = this.runtime.now - term.lastReport;
    const young = this.runtime.now - term.acquired < DEAF_GRACE;
    if (young || term.machines.size < 2 || silence < this.runtime.operator.leadership.resignDeaf)
      return;
    this.leadership.resign('no reports arrive');
  }

  // --- requests --------------------------------------------------------------

  private route(request: Request): void {
    if (request.path === HEALTH_PATH) return this.health(request);
    if (request.path === REPORT_PATH) return this.hello(request);
    if (request.path === STATS_PATH) return this.tellStats(request);
    if (request.path === CANCELLATIONS_PATH && request.via === 'peer') {
      return this.hearCancellations(request);
    }
    if (this.requests.handle(request)) return;
    this.runtime.reply(request.id, { status: 404, body: { error: 'no such path' } });
  }

  private notAllowed(request: Request, allow: string): void {
    this.runtime.reply(request.id, { status: 405, body: { error: 'method not allowed' }, allow });
  }

  private health(request: Request): void {
    if (request.method !== 'GET') return this.notAllowed(request, 'GET');
    const healthy = this.healthy();
    this.runtime.reply(request.id, { status: healthy ? 200 : 503, body: { healthy } });
  }

  private tellStats(request: Request): void {
    if (request.method !== 'GET') return this.notAllowed(request, 'GET');
    this.runtime.reply(request.id, { status: 200, body: this.runtime.stats.view() });
  }

  private hearCancellations(request: Request): void {
    try {
      const jobs = parseCancellations(unpackBody(request.body));
      for (const id of jobs) this.term?.liveJobs.cancelled(id);
      this.runtime.reply(request.id, { status: 200, body: {} });
    } catch (error) {
      this.malformed(request, error);
    }
  }

  private malformed(request: Request, error: unknown): void {
    if (!(error instanceof WireError)) throw error;
    this.runtime.reply(request.id, { status: 400, body: { error: error.message } });
  }

  /**
   * In an outage common to all, nodes stay healthy: removals would only double
   * the load balancer's pause. A node cut off from everything says so.
   */
  private healthy(): boolean {
    const starting = this.runtime.now - (this.startedAt ?? 0) < START_PATIENCE;
    if (starting && !this.catalog.known) return false;
    return this.state.ok || this.peers.anyAlive;
  }

  private hello(request: Request): void {
    if (request.method !== 'POST') return this.notAllowed(request, 'POST');
    let report: WorkerReport;
    try {
      report = parseReport(unpackBody(request.body));
    } catch (error) {
      return this.malformed(request, error);
    }
    this.leadership.outranked(report.token);
    // Also while it may not answer: a leader that an outage silenced is not deaf.
    if (this.term) this.term.lastReport = this.runtime.now;
    const held = this.entitled();
    if (!held || !this.term) return this.redirect(request, report);
    const { counted, answered, orders } = this.term.reports.report(report);
    if (!answered) return this.sendOn(request.id, null);
    this.runtime.stats.count(counted ? 'reports.counted' : 'reports.ignored');
    // Only a newer report shows that the one before was given up; a late copy does not.
    if (counted) this.longPolls?.drop(report.machine, held);
    const hold = counted && orders.length === 0 ? this.holdFor(report) : 0;
    if (hold > 0) this.runtime.stats.count('reports.held');
    if (hold > 0) return this.longPolls?.hold(report.machine, request.id, hold);
    this.runtime.reply(request.id, {
      status: 200,
      body: renderReportAnswer(held.fencingToken, orders),
      validUntil: held.validUntil,
    });
  }

  private holdFor(report: WorkerReport): Duration {
    const type = this.catalog.types.find((t) => t.name === report.type);
    return type && this.term ? this.term.orders.holdFor(report.machine, type) : 0;
  }

  /**
   * Names the leader only while it seems to live, so that workers lose no time on
   * it. While there is none, the report waits for the election for a moment: a
   * thousand workers that go round the nodes once a second would slow it down.
   */
  private redirect(request: Request, report: WorkerReport): void {
    const leader = this.liveLeader();
    if (leader === null && this.delegatedRenewal.mayRenew)
      return this.renewForLeader(request, report);
    if (leader === null && this.mayPark()) return this.park(request, report);
    this.sendOn(request.id, leader);
  }

  private renewForLeader(request: Request, report: WorkerReport): void {
    this.delegatedRenewal.renew(report, (status, body, validUntil) =>
      this.runtime.reply(request.id, {
        status,
        body,
        ...(validUntil === undefined ? {} : { validUntil }),
      }),
    );
  }

  private liveLeader(): string | null {
    const leader = this.leadership.leader;
    return leader !== null && this.peers.alive(leader) ? leader : null;
  }

  private sendOn(request: number, leader: string | null): void {
    this.runtime.stats.count('reports.redirected');
    this.runtime.reply(request, { status: 421, body: renderRedirect(leader) });
  }

  /** A node without the state service will not know of the election, nor win it. */
  private mayPark(): boolean {
    return !this.state.doubtful && this.parked.size < this.runtime.settings.maxConnections / 2;
  }

  private park(request: Request, report: WorkerReport): void {
    this.parked.set(request.id, { request, report });
    this.runtime.stats.count('reports.parked');
    this.runtime.after(PARK, () => {
      if (this.parked.delete(request.id)) this.sendOn(request.id, this.liveLeader());
    });
  }

  /**
   * Somebody leads, or a leader behind a cut does, or this node can't tell any more. A few
   * at a time: a process that has just started takes seconds for a thousand reports.
   */
  private unpark(): void {
    if (this.parked.size === 0) return;
    const leads = this.entitled() !== null;
    const leader = this.liveLeader();
    const keeps = !leads && leader === null && this.delegatedRenewal.mayRenew;
    if (!leads && !keeps && leader === null && !this.state.doubtful) return;
    const waiting = [...this.parked.values()].slice(0, MOST_UNPARKED);
    for (const { request, report } of waiting) {
      this.parked.delete(request.id);
      if (leads) this.hello(request);
      else if (keeps) this.renewForLeader(request, report);
      else this.sendOn(request.id, leader);
    }
    if (this.parked.size > 0) this.runtime.after(0, () => undefined);
  }
}
