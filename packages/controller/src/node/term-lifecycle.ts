/** Creates a term and its components when this node is elected, and closes it afterwards. */
import type { Granted } from '../authority/decision.js';
import { Autoscaler } from '../autoscaling/autoscaler.js';
import type { Leadership, LeadershipListener } from '../leadership/leadership.js';
import type { Catalog } from '../machines/catalog.js';
import type { Peers } from '../peers/peers.js';
import { Scheduler } from '../placement/scheduler.js';
import type { LeaderContext } from '../requests/leader-heartbeats.js';
import { LongPolls } from '../requests/long-polls.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { DirectStops } from '../term/direct-stops.js';
import { JobCompletion } from '../term/job-completion.js';
import { applyHints } from '../term/successor-hints.js';
import { Term } from '../term/term.js';

/** The services that a term uses; they outlive it. */
export interface TermServices {
  state: StateStore;
  leadership: Leadership;
  catalog: Catalog;
  peers: Peers;
}

/** Holds the current term of this node while it leads. */
export class TermLifecycle implements LeadershipListener, LeaderContext {
  private currentTerm: Term | null = null;
  private currentLongPolls: LongPolls | null = null;

  constructor(
    private readonly runtime: Runtime,
    private readonly services: TermServices,
  ) {}

  /** Null while this node does not lead. */
  get term(): Term | null {
    return this.currentTerm;
  }

  /** Null while this node does not lead. */
  get longPolls(): LongPolls | null {
    return this.currentLongPolls;
  }

  /** The decision that allows answers that renew workers' leases; null if they are not allowed. */
  renewalGrant(): Granted | null {
    return this.currentTerm?.renewalGrant() ?? null;
  }

  /** Ends a job whose cancellation this node or a peer has committed, before the watch shows it. */
  cancellationReceived(job: string): void {
    this.currentTerm?.liveJobs.applyCancellation(job);
  }

  /** Starts a term with its scheduler, its autoscaler and its completion of jobs. */
  onElected(fencingToken: number): void {
    this.closeTerm();
    const { state, leadership, peers } = this.services;
    const term = new Term(this.runtime, state, leadership, fencingToken);
    if (peers.hints) applyHints(peers.hints, term);
    this.currentTerm = term;
    this.currentLongPolls = new LongPolls(this.runtime, term, () => this.renewalGrant());
    this.startComponents(term);
  }

  /** Closes the term, so that its remaining timers and callbacks change and answer nothing. */
  onLeadershipLost(): void {
    const fencingToken = this.currentTerm?.fencingToken;
    this.runtime.log('info', { fencingToken }, 'leadership lost');
    this.closeTerm();
    this.currentTerm = null;
    this.currentLongPolls = null;
  }

  private closeTerm(): void {
    this.currentTerm?.close();
    this.currentLongPolls?.release();
  }

  private startComponents(term: Term): void {
    const { runtime } = this;
    const { state, leadership, catalog } = this.services;
    const autoscaler = new Autoscaler(runtime, state, leadership, term, catalog);
    const scheduler = new Scheduler(runtime, term, catalog, autoscaler);
    term.start();
    new JobCompletion(runtime, state, leadership, term).start();
    new DirectStops(runtime, {
      term,
      hasEnded: (job) => term.liveJobs.hasEnded(job),
      mayRenew: () => this.renewalGrant() !== null,
    }).start();
    scheduler.start();
    autoscaler.start();
  }
}
