/** The state owner of a node: creates its parts and passes commands to them. */
import type { Instant } from '@tealdock/wire';
import { JobLookup } from './jobs/job-lookup.js';
import { DelegatedRenewal } from './leadership/delegated-renewal.js';
import { Leadership } from './leadership/leadership.js';
import { Catalog } from './machines/catalog.js';
import { LeaderBroadcasts } from './node/leader-broadcasts.js';
import { LeaderReachability } from './node/leader-reachability.js';
import { NodeHealth } from './node/node-health.js';
import { RequestRouter } from './node/request-router.js';
import { TermLifecycle } from './node/term-lifecycle.js';
import { Peers } from './peers/peers.js';
import { Cancellations } from './requests/cancellations.js';
import { HeartbeatRequests } from './requests/heartbeat-requests.js';
import { JobRequests } from './requests/job-requests.js';
import { JobStatus } from './requests/job-status.js';
import { LeaderHeartbeats } from './requests/leader-heartbeats.js';
import { Submissions } from './requests/submissions.js';
import type { Command, Effect } from './runtime/ports.js';
import { Runtime, type Environment } from './runtime/runtime.js';
import { StateStore } from './state/state-store.js';

/**
 * Owns all state of a process and does no network I/O. Commands come in batches through
 * `process`, which returns the effects that the process must carry out.
 */
export class Controller {
  private readonly runtime: Runtime;
  private readonly state: StateStore;
  private readonly leadership: Leadership;
  private readonly catalog: Catalog;
  private readonly peers: Peers;
  private readonly terms: TermLifecycle;
  private readonly health: NodeHealth;
  private readonly heartbeatRequests: HeartbeatRequests;
  private readonly router: RequestRouter;
  private isStarted = false;

  constructor(env: Environment) {
    this.runtime = new Runtime(env);
    this.state = new StateStore(this.runtime);
    this.leadership = new Leadership(this.runtime, this.state, {
      onElected: (fencingToken) => this.terms.onElected(fencingToken),
      onLeadershipLost: () => this.terms.onLeadershipLost(),
    });
    this.catalog = new Catalog(this.runtime, this.state, this.leadership);
    this.peers = new Peers(this.runtime);
    const { state, leadership, catalog, peers } = this;
    this.terms = new TermLifecycle(this.runtime, { state, leadership, catalog, peers });
    this.health = new NodeHealth(this.runtime, this.state, this.catalog, this.peers);
    const lookup = new JobLookup(this.runtime, this.state);
    this.heartbeatRequests = this.createHeartbeatRequests(lookup);
    this.router = new RequestRouter(this.runtime, {
      jobRequests: this.createJobRequests(lookup),
      heartbeatRequests: this.heartbeatRequests,
      health: this.health,
      onCancellation: (job) => this.terms.cancellationReceived(job),
    });
  }

  /**
   * Applies commands and runs the timers that are due, and returns the effects to carry out. `now`
   * is the time on the process's monotonic clock, `wallClock` the wall-clock time. The first call
   * starts the node.
   */
  process(commands: Command[], now: Instant, wallClock: Date): Effect[] {
    this.runtime.now = now;
    this.runtime.wallClock = wallClock;
    if (!this.isStarted) this.start();
    for (const command of commands) this.apply(command);
    this.runtime.runDueTimers();
    this.heartbeatRequests.resumeParked();
    this.terms.longPolls?.release();
    return this.runtime.takeEffects();
  }

  /** When `process` must be called next even if no command arrives; `Infinity` if never. */
  nextDue(): Instant {
    return this.runtime.nextTimerDue();
  }

  private createHeartbeatRequests(lookup: JobLookup): HeartbeatRequests {
    const { runtime, state, leadership, peers, terms } = this;
    return new HeartbeatRequests(runtime, {
      state,
      leadership,
      peers,
      delegatedRenewal: new DelegatedRenewal(runtime, state, leadership, peers, (job, onResult) =>
        lookup.proveLiveness(job, onResult),
      ),
      leader: terms,
      leaderHeartbeats: new LeaderHeartbeats(runtime, this.catalog, terms),
    });
  }

  private createJobRequests(lookup: JobLookup): JobRequests {
    const { runtime, state, catalog, peers } = this;
    const cancellations = new Cancellations(runtime, state, lookup, (job) => {
      this.terms.cancellationReceived(job);
      peers.broadcastCancellations([job]);
    });
    const jobStatus = new JobStatus(runtime, lookup, cancellations, (id) => peers.taskCountsOf(id));
    const submissions = new Submissions(runtime, state, lookup, catalog, jobStatus);
    return new JobRequests(runtime, state, peers, { submissions, jobStatus, cancellations });
  }

  private start(): void {
    const { runtime, state, leadership, peers, terms } = this;
    this.isStarted = true;
    this.health.start();
    leadership.start();
    this.catalog.start();
    peers.start(() => this.sendHeartbeat());
    new LeaderReachability(runtime, state, leadership, terms).start();
    new LeaderBroadcasts(runtime, leadership, peers, terms).start();
  }

  private apply(command: Command): void {
    switch (command.kind) {
      case 'result':
        return this.runtime.completeCall(command.id, command.result);
      case 'heartbeat':
        return this.peers.receiveHeartbeat(command);
      case 'leader_broadcast':
        return this.peers.receiveBroadcast(command.message);
      case 'peer_refused':
        return this.peers.recordConnectionRefused(command.member);
      case 'request':
        return this.router.route(command);
      case 'tick':
        // The batch only serves to run timers that are due.
        return;
    }
  }

  private sendHeartbeat(): void {
    this.runtime.sendHeartbeat(
      this.leadership.leader ?? '',
      this.terms.term?.fencingToken ?? 0,
      this.state.isAvailable,
    );
  }
}
