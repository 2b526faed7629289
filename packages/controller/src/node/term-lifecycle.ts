/** Starts a term with all that works in it when this node is elected, and ends it. */
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

/** What a term is built on. */
export interface TermServices {
  state: StateStore;
  leadership: Leadership;
  catalog: Catalog;
  peers: Peers;
}

/** The current term of this node, if it leads. */
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

  /** What allows answers that renew workers' leases now; null if nothing does. */
  renewalGrant(): Granted | null {
    return this.currentTerm?.renewalGrant() ?? null;
  }

  /** A node that committed a cancellation names the job; it is ended here without delay. */
  cancellationReceived(job: string): void {
    this.currentTerm?.liveJobs.applyCancellation(job);
  }

  /** Starts a term, and the scheduler, the autoscaler and the completion of jobs in it. */
  onElected(fencingToken: number): void {
    this.closeTerm();
    const { state, leadership, peers } = this.services;
    const term = new Term(this.runtime, state, leadership, fencingToken);
    if (peers.hints) applyHints(peers.hints, term);
    this.currentTerm = term;
    this.currentLongPolls = new LongPolls(this.runtime, term, () => this.renewalGrant());
    this.startParts(term);
  }

  /** Ends the term: whatever still runs of it changes and answers nothing more. */
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

  private startParts(term: Term): void {
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
