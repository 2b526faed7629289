/** Puts the parts of the state owner together. */
import {
  CANCELLATIONS_PATH,
  HEALTH_PATH,
  HEARTBEAT_PATH,
  parseCancellations,
  unpackBody,
  type Instant,
  type LeaderBroadcast,
} from '@tealdock/wire';
import type { Granted } from './authority/decision.js';
import { Catalog } from './machines/catalog.js';
import { JobCompletion } from './term/job-completion.js';
import { JobLookup } from './jobs/job-lookup.js';
import { DirectStops } from './term/direct-stops.js';
import { Autoscaler } from './autoscaling/autoscaler.js';
import { LongPolls } from './requests/long-polls.js';
import { applyHints, collectHints } from './term/successor-hints.js';
import { DelegatedRenewal } from './leadership/delegated-renewal.js';
import { Leadership } from './leadership/leadership.js';
import { Peers } from './peers/peers.js';
import { Scheduler } from './placement/scheduler.js';
import type { Command, Effect, HttpRequest } from './runtime/ports.js';
import { JobRequests } from './requests/job-requests.js';
import { Cancellations } from './requests/cancellations.js';
import { HeartbeatRequests } from './requests/heartbeat-requests.js';
import { JobStatus } from './requests/job-status.js';
import { LeaderHeartbeats, type LeaderContext } from './requests/leader-heartbeats.js';
import { replyMalformed, replyMethodNotAllowed } from './requests/replies.js';
import { Submissions } from './requests/submissions.js';
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
/** A term is given this long to hear its first reports. */
const FIRST_REPORTS_GRACE = 12_000;

/**
 * The one owner of all state of a process. Commands come in batches through
 * `process`; what is to be done outside goes out as effects.
 */
export class Controller implements LeaderContext {
  private readonly runtime: Runtime;
  private readonly state: StateStore;
  private readonly leadership: Leadership;
  private readonly catalog: Catalog;
  private readonly peers: Peers;
  private readonly jobRequests: JobRequests;
  private readonly heartbeatRequests: HeartbeatRequests;
  term: Term | null = null;
  longPolls: LongPolls | null = null;
  private startedAt: Instant | null = null;

  constructor(env: Environment) {
    this.runtime = new Runtime(env);
    this.state = new StateStore(this.runtime);
    this.leadership = new Leadership(this.runtime, this.state, {
      onElected: (fencingToken) => this.startTerm(fencingToken),
      onLeadershipLost: () => this.endTerm(),
    });
    this.catalog = new Catalog(this.runtime, this.state, this.leadership);
    this.peers = new Peers(this.runtime);
    const lookup = new JobLookup(this.runtime, this.state);
    this.jobRequests = this.createJobRequests(lookup);
    const delegatedRenewal = new DelegatedRenewal(
      this.runtime,
      this.state,
      this.leadership,
      this.peers,
      (job, done) => lookup.proveLiveness(job, done),
    );
    this.heartbeatRequests = new HeartbeatRequests(this.runtime, {
      state: this.state,
      leadership: this.leadership,
      peers: this.peers,
      delegatedRenewal,
      leader: this,
      leaderHeartbeats: new LeaderHeartbeats(this.runtime, this.catalog, this),
    });
  }

  private createJobRequests(lookup: JobLookup): JobRequests {
    const { runtime, state, catalog, peers } = this;
    const cancellations = new Cancellations(runtime, state, lookup, (id) =>
      this.spreadCancellation(id),
    );
    const jobStatus = new JobStatus(runtime, lookup, cancellations, (id) => peers.taskCountsOf(id));
    const submissions = new Submissions(runtime, state, lookup, catalog, jobStatus);
    return new JobRequests(runtime, state, peers, { submissions, jobStatus, cancellations });
  }

  process(commands: Command[], now: Instant, today: Date): Effect[] {
    this.runtime.now = now;
    this.runtime.wallClock = today;
    if (this.startedAt === null) this.start();
    for (const command of commands) this.apply(command);
    this.runtime.runDueTimers();
    this.heartbeatRequests.resumeParked();
    this.longPolls?.release();
    return this.runtime.takeEffects();
  }

  /** When the next batch is due even if no command comes. */
  nextDue(): Instant {
    return this.runtime.nextTimerDue();
  }

  private start(): void {
    this.startedAt = this.runtime.now;
    this.leadership.start();
    this.catalog.start();
    this.peers.start(() => this.sendHeartbeat());
    this.runtime.every(CHECK_EVERY, () => {
      this.resignIfUnreachable();
      return true;
    });
    this.runtime.every(COUNTS_EVERY, () => {
      this.broadcastTaskCounts();
      return true;
    });
    this.runtime.every(HINTS_EVERY, () => {
      this.broadcastHints();
      return true;
    });
  }

  private apply(command: Command): void {
    if (command.kind === 'result') this.runtime.completeCall(command.id, command.result);
    else if (command.kind === 'heartbeat') this.peers.receiveHeartbeat(command);
    else if (command.kind === 'leader_broadcast') this.peers.receiveBroadcast(command.message);
    else if (command.kind === 'peer_refused') this.peers.recordConnectionRefused(command.member);
    else if (command.kind === 'request') this.route(command);
  }

  private sendHeartbeat(): void {
    this.runtime.sendHeartbeat(
      this.leadership.leader ?? '',
      this.term?.fencingToken ?? 0,
      this.state.isAvailable,
    );
  }

  /** Counts for display: the leader tells the others, and users as well. */
  private broadcastTaskCounts(): void {
    if (!this.term || !this.leadership.validLease()) return;
    const jobs = [...this.term.jobs.values()].slice(0, MOST_COUNTS).map((job) => ({
      id: job.id,
      done: job.progress.doneTaskCount,
      running: job.countRunning(),
    }));
    this.broadcast({ kind: 'counts', jobs });
  }

  /** What a successor may start from; nothing depends on its being right. */
  private broadcastHints(): void {
    if (!this.term?.allMachinesReconciled || !this.leadership.validLease()) return;
    this.broadcast({ kind: 'hints', ...collectHints(this.term) });
  }

  private broadcast(message: LeaderBroadcast): void {
    this.runtime.broadcast(message);
    this.peers.receiveBroadcast(message);
  }

  // --- leadership ------------------------------------------------------------

  private startTerm(token: number): void {
    this.term?.close();
    this.longPolls?.release();
    const term = new Term(this.runtime, this.state, this.leadership, token);
    if (this.peers.hints) applyHints(this.peers.hints, term);
    this.term = term;
    this.longPolls = new LongPolls(this.runtime, term, () => this.renewalGrant());
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
    new DirectStops(this.runtime, {
      term,
      hasEnded: (job) => term.liveJobs.hasEnded(job),
      mayRenew: () => this.renewalGrant() !== null,
    }).start();
    scheduler.start();
    autoscaler.start();
  }

  private endTerm(): void {
    this.runtime.log('info', { fencingToken: this.term?.fencingToken }, 'leadership lost');
    this.term?.close();
    this.longPolls?.release();
    this.term = null;
    this.longPolls = null;
  }

  /** What allows an answer that renews a lease, if anything does. */
  renewalGrant(): Granted | null {
    return this.term?.renewalGrant() ?? null;
  }

  private spreadCancellation(id: string): void {
    this.term?.liveJobs.cancellationReceived(id);
    this.peers.broadcastCancellations([id]);
  }

  /** A leader that workers can't reach makes way for one that they can. */
  private resignIfUnreachable(): void {
    const term = this.term;
    if (!term || !this.leadership.validLease() || this.state.lastCallFailed || !term.stateLoaded)
      return;
    const silence = this.runtime.now - term.lastHeartbeatAt;
    const young = this.runtime.now - term.electedAt < FIRST_REPORTS_GRACE;
    if (
      young ||
      term.machines.size < 2 ||
      silence < this.runtime.operator.leadership.resignUnreachable
    )
      return;
    this.leadership.resign('no reports arrive');
  }

  // --- requests --------------------------------------------------------------

  private route(request: HttpRequest): void {
    if (request.path === HEALTH_PATH) return this.health(request);
    if (request.path === HEARTBEAT_PATH) return this.heartbeatRequests.handle(request);
    if (request.path === STATS_PATH) return this.replyWithStats(request);
    if (request.path === CANCELLATIONS_PATH && request.via === 'peer') {
      return this.receiveCancellations(request);
    }
    if (this.jobRequests.handle(request)) return;
    this.runtime.reply(request.id, { status: 404, body: { error: 'no such path' } });
  }

  private health(request: HttpRequest): void {
    if (request.method !== 'GET') return replyMethodNotAllowed(this.runtime, request, 'GET');
    const healthy = this.healthy();
    this.runtime.reply(request.id, { status: healthy ? 200 : 503, body: { healthy } });
  }

  private replyWithStats(request: HttpRequest): void {
    if (request.method !== 'GET') return replyMethodNotAllowed(this.runtime, request, 'GET');
    this.runtime.reply(request.id, { status: 200, body: this.runtime.stats.snapshot() });
  }

  private receiveCancellations(request: HttpRequest): void {
    try {
      const jobs = parseCancellations(unpackBody(request.body));
      for (const id of jobs) this.term?.liveJobs.cancellationReceived(id);
      this.runtime.reply(request.id, { status: 200, body: {} });
    } catch (error) {
      replyMalformed(this.runtime, request, error);
    }
  }

  /**
   * In an outage common to all, nodes stay healthy: removals would only double
   * the load balancer's pause. A node cut off from everything says so.
   */
  private healthy(): boolean {
    const starting = this.runtime.now - (this.startedAt ?? 0) < START_PATIENCE;
    if (starting && !this.catalog.isLoaded) return false;
    return this.state.isAvailable || this.peers.anyAlive;
  }
}
