/** One term of leadership. */
import type { Instant } from '@tealdock/wire';
import { Authority, type Knowledge } from '../authority/authority.js';
import { Invariants } from '../authority/invariants.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Leadership } from '../leadership/leadership.js';
import { LeaseExpiry } from '../machines/lease-expiry.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { Bindings } from './bindings.js';
import { EndedJobLookup } from './ended-job-lookup.js';
import { JobWatch } from './job-watch.js';
import { LiveJobs } from './live-jobs.js';
import { Membership } from './membership.js';
import { Orders } from './orders.js';
import { Rebuild } from './rebuild.js';
import { ReportIntake } from './report-intake.js';
import { TermState } from './term-state.js';

const SWEEP_EVERY = 1000;
/** A booking that the machine does not come for is given to another one after so many reports. */
const BOOKING_PATIENCE = 1.8;

/**
 * What one term of leadership knows: live jobs, machines and which task is bound
 * to which machine. It is rebuilt from the state service and from reports that
 * carry this term's token; a binding ends only on proof (docs/safety.md).
 */
export class Term extends TermState implements Knowledge {
  lastReport: Instant;
  readonly bindings: Bindings;
  readonly liveJobs: LiveJobs;
  readonly membership: Membership;
  readonly watch: JobWatch;
  readonly authority: Authority;
  readonly orders: Orders;
  readonly reports: ReportIntake;
  readonly leaseExpiry: LeaseExpiry;
  private readonly lookup: EndedJobLookup;
  private readonly rebuild: Rebuild;
  private wasReady = false;

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    private readonly leadership: Leadership,
    fencingToken: number,
  ) {
    super(runtime.now, fencingToken);
    this.lastReport = runtime.now;
    this.bindings = new Bindings(runtime, leadership, this);
    this.liveJobs = new LiveJobs(runtime, state, leadership, this, this.bindings);
    this.membership = new Membership(runtime, state, leadership, this, this.bindings);
    this.watch = new JobWatch(runtime, state, this, this.liveJobs);
    this.lookup = new EndedJobLookup(runtime, state, this, this.liveJobs, this.bindings);
    this.authority = new Authority(runtime, leadership, this);
    this.orders = new Orders(runtime, this, this.authority, new Invariants(runtime));
    this.reports = new ReportIntake(
      runtime,
      this,
      this.bindings,
      this.lookup,
      this.orders,
      this.membership,
    );
    this.rebuild = new Rebuild(runtime, state, this, this.membership, this.liveJobs, this.watch);
    this.leaseExpiry = new LeaseExpiry(runtime, state, this, (expired) => this.endExpired(expired));
  }

  /** All machines of the registry are accounted for. */
  get ready(): boolean {
    return this.settled && this.unresolved().length === 0;
  }

  /** Everything that reports have shown so far is known by size and team. */
  get settled(): boolean {
    return this.lookup.settled;
  }

  /** Every cancellation committed before this is known. */
  get knownTo(): Instant {
    return this.watch.knownTo;
  }

  isLive(job: string): boolean {
    return this.jobs.has(job);
  }

  /**
   * Placing waits until all machines are accounted for. A job that was committed, or of which a
   * predecessor ended, after this term's token is an exception: no older term can have
   * started any of it (docs/safety.md, Rebuild).
   */
  mayPlace(job: LiveJob, ready: boolean): boolean {
    return ready || (this.settled && job.startableSince > this.fencingToken);
  }

  start(): void {
    this.rebuild.load();
    this.watch.start();
    this.runtime.every(SWEEP_EVERY, () => {
      if (!this.closed) this.sweep();
      return !this.closed;
    });
  }

  close(): void {
    this.closed = true;
    this.membership.registry.close();
    this.liveJobs.progress.close();
  }

  /** Notes when all machines are accounted for, which is when all work may be placed. */
  private noteReady(): void {
    if (this.wasReady || !this.ready) return;
    this.wasReady = true;
    const took = this.runtime.now - this.acquired;
    this.runtime.stats.record('takeover.ready_ms', took);
    this.runtime.env.log(
      'info',
      { token: this.fencingToken, took: Math.round(took) },
      'roster accounted for',
    );
  }

  private sweep(): void {
    // While the lease is in doubt nothing is heard, so missing reports mean nothing.
    if (!this.leadership.held()) return;
    this.noteReady();
    this.orders.updateSmallest();
    if (this.loaded) this.leaseExpiry.check();
    for (const machine of this.machines.values()) {
      machine.accumulate(SWEEP_EVERY);
      const patience = this.runtime.settings.reportEvery * BOOKING_PATIENCE;
      const late = this.runtime.now - (machine.lastCounted ?? this.acquired) > patience;
      if (late || machine.returning || machine.noticeUntil !== null)
        this.bindings.unbookAll(machine);
      const idle = machine.bindings.size === 0;
      machine.idleSince = idle ? (machine.idleSince ?? this.runtime.now) : null;
    }
  }

  /** Their leases are surely over: the workers have killed all they had. */
  private endExpired(expired: Machine[]): void {
    const machines = expired.map((m) => m.id);
    this.runtime.env.log('info', { machines }, 'leases of silent machines ran out');
    for (const machine of expired) {
      this.bindings.endAll(machine, 'lease ran out');
      machine.resolved = true;
      // Never enrolled, so without tasks: what a late copy of a report told of.
      if (!machine.registered && machine.bindings.size === 0) this.machines.delete(machine.id);
    }
  }
}
