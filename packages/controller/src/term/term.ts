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
import { WorkerCommands } from './worker-commands.js';
import { Rebuild } from './rebuild.js';
import { HeartbeatProcessor } from './heartbeat-processor.js';
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
  lastHeartbeatAt: Instant;
  readonly bindings: Bindings;
  readonly liveJobs: LiveJobs;
  readonly membership: Membership;
  readonly watch: JobWatch;
  readonly authority: Authority;
  readonly workerCommands: WorkerCommands;
  readonly heartbeats: HeartbeatProcessor;
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
    this.lastHeartbeatAt = runtime.now;
    this.bindings = new Bindings(runtime, leadership, this);
    this.liveJobs = new LiveJobs(runtime, state, leadership, this, this.bindings);
    this.membership = new Membership(runtime, state, leadership, this, this.bindings);
    this.watch = new JobWatch(runtime, state, this, this.liveJobs);
    this.lookup = new EndedJobLookup(runtime, state, this, this.liveJobs, this.bindings);
    this.authority = new Authority(runtime, leadership, this);
    this.workerCommands = new WorkerCommands(
      runtime,
      this,
      this.authority,
      new Invariants(runtime),
    );
    this.heartbeats = new HeartbeatProcessor(
      runtime,
      this,
      this.bindings,
      this.lookup,
      this.workerCommands,
      this.membership,
    );
    this.rebuild = new Rebuild(runtime, state, this, this.membership, this.liveJobs, this.watch);
    this.leaseExpiry = new LeaseExpiry(runtime, state, this, (expired) => this.endExpired(expired));
  }

  /** All machines of the registry are accounted for. */
  get allMachinesReconciled(): boolean {
    return this.observedJobsLoaded && this.unreconciledMachines().length === 0;
  }

  /** Everything that reports have shown so far is known by size and team. */
  get observedJobsLoaded(): boolean {
    return this.lookup.isComplete;
  }

  /** Every cancellation committed before this is known. */
  get cancellationsKnownUntil(): Instant {
    return this.watch.cancellationsKnownUntil;
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
    return (
      ready ||
      (this.observedJobsLoaded && job.dependencies.startableSinceRevision > this.fencingToken)
    );
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
    if (this.wasReady || !this.allMachinesReconciled) return;
    this.wasReady = true;
    const took = this.runtime.now - this.electedAt;
    this.runtime.stats.record('takeover.ready_ms', took);
    this.runtime.env.log(
      'info',
      { fencingToken: this.fencingToken, tookMs: Math.round(took) },
      'machine registry reconciled',
    );
  }

  private sweep(): void {
    // While the lease is in doubt nothing is heard, so missing reports mean nothing.
    if (!this.leadership.validLease()) return;
    this.noteReady();
    this.workerCommands.updateSmallestTask();
    if (this.stateLoaded) this.leaseExpiry.check();
    for (const machine of this.machines.values()) {
      machine.usage.accumulateComputeTime(SWEEP_EVERY);
      const patience = this.runtime.settings.heartbeatInterval * BOOKING_PATIENCE;
      const late =
        this.runtime.now - (machine.heartbeats.lastCountedAt ?? this.electedAt) > patience;
      if (
        late ||
        machine.registration.isReturning ||
        machine.heartbeats.preemptionDeadline !== null
      )
        this.bindings.releaseUndispatched(machine);
      machine.usage.updateIdle(this.runtime.now);
    }
  }

  /** Their leases are surely over: the workers have killed all they had. */
  private endExpired(expired: Machine[]): void {
    const machines = expired.map((m) => m.id);
    this.runtime.env.log('info', { machines }, 'worker leases expired');
    for (const machine of expired) {
      this.bindings.endDispatched(machine, 'lease ran out');
      machine.registration.markReconciled();
      // Never enrolled, so without tasks: what a late copy of a report told of.
      if (!machine.registration.isRegistered && machine.bindings.size === 0)
        this.machines.delete(machine.id);
    }
  }
}
