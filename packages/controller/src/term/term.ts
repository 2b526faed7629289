/** One term of leadership. */
import type { Instant } from '@tealdock/wire';
import { Authority, type TermKnowledge } from '../authority/authority.js';
import type { Granted } from '../authority/decision.js';
import { RenewalLog } from '../authority/renewal-log.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Leadership } from '../leadership/leadership.js';
import { FetchSharing } from '../machines/fetch-sharing.js';
import type { LeaseExpiry } from '../machines/lease-expiry.js';
import type { Machine } from '../machines/machine.js';
import { UsageLedger, type UsageView } from '../machines/usage-ledger.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { BindingInvariants } from './binding-invariants.js';
import { Bindings } from './bindings.js';
import { DirtyMachines } from './dirty-machines.js';
import { EndedJobLookup } from './ended-job-lookup.js';
import { Fleet } from './fleet.js';
import { HeartbeatProcessor } from './heartbeat-processor.js';
import { JobWatch } from './job-watch.js';
import { LiveJobs } from './live-jobs.js';
import { MachineMaintenance } from './machine-maintenance.js';
import { MachineRegistry } from './machine-registry.js';
import { Rebuild } from './rebuild.js';
import { RunTimeRatios } from './run-time-ratios.js';
import { StrayKeys } from './stray-keys.js';
import { TaskObserver } from './task-observer.js';
import type { TermView } from './term-view.js';
import { WorkerCommands } from './worker-commands.js';

/**
 * The leader's knowledge in one term of leadership: live jobs, machines, and which task is bound
 * to which machine. It is rebuilt from the state service and from heartbeats that carry this
 * term's fencing token; a binding ends only on proof (docs/safety.md).
 *
 * Each part owns its state, and the other parts see a read-only view of it: live jobs are added
 * and removed by `LiveJobs`, machines by `Fleet`, sums over bindings change through `Bindings`.
 */
export class Term implements TermView, TermKnowledge {
  readonly electedAt: Instant;
  readonly fetchSharing = new FetchSharing();
  readonly runTimeRatios = new RunTimeRatios();
  readonly dirtyMachines = new DirtyMachines();
  readonly strayKeys: StrayKeys;
  readonly liveJobs: LiveJobs;
  readonly bindings: Bindings;
  readonly machineRegistry: MachineRegistry;
  readonly workerCommands: WorkerCommands;
  readonly heartbeats: HeartbeatProcessor;
  private readonly fleet = new Fleet();
  private readonly usageLedger = new UsageLedger();
  private readonly watch: JobWatch;
  private readonly lookup: EndedJobLookup;
  private readonly authority: Authority;
  private readonly renewalLog: RenewalLog;
  private readonly rebuild: Rebuild;
  private readonly maintenance: MachineMaintenance;
  private isStateLoaded = false;
  private isClosed = false;
  private newestHeartbeatAt: Instant;

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    leadership: Leadership,
    readonly fencingToken: number,
  ) {
    this.electedAt = this.newestHeartbeatAt = runtime.now;
    this.strayKeys = new StrayKeys(state, leadership);
    this.liveJobs = new LiveJobs(runtime, state, leadership, {
      term: this,
      runTimeRatios: this.runTimeRatios,
      onEnded: (job) => this.discardBindingsOf(job),
    });
    this.bindings = new Bindings(runtime, leadership, {
      fencingToken,
      jobs: this.liveJobs.jobs,
      machines: this.fleet.machines,
      ledger: this.usageLedger,
      dirtyMachines: this.dirtyMachines,
    });
    const { fleet, bindings } = this;
    this.machineRegistry = new MachineRegistry(runtime, state, leadership, fleet, bindings);
    this.watch = new JobWatch(runtime, state, this, this.liveJobs);
    this.lookup = new EndedJobLookup(runtime, state, this, this.liveJobs, bindings);
    this.authority = new Authority(runtime, leadership, this);
    this.renewalLog = new RenewalLog(runtime);
    const invariants = new BindingInvariants(runtime, this, this.authority);
    this.workerCommands = new WorkerCommands(runtime, this, this.authority, invariants);
    this.heartbeats = this.newHeartbeatProcessor();
    this.rebuild = this.newRebuild(state);
    this.maintenance = new MachineMaintenance(runtime, state, leadership, this, {
      fleet,
      bindings,
      workerCommands: this.workerCommands,
    });
  }

  /** By identifier, in the order in which they became known. */
  get jobs(): ReadonlyMap<string, LiveJob> {
    return this.liveJobs.jobs;
  }

  /** By identifier, in the order in which they became known. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.fleet.machines;
  }

  /** Sums over the bindings, by team and by zone. */
  get ledger(): UsageView {
    return this.usageLedger;
  }

  /** True once the stored state has been read. */
  get stateLoaded(): boolean {
    return this.isStateLoaded;
  }

  /** True once leadership is lost. */
  get closed(): boolean {
    return this.isClosed;
  }

  /** Knows when the leases of workers end. */
  get leaseExpiry(): LeaseExpiry {
    return this.maintenance.leaseExpiry;
  }

  /** When the last heartbeat of any worker arrived, counted or not; at first, the election. */
  get lastHeartbeatAt(): Instant {
    return this.newestHeartbeatAt;
  }

  /** True once it is known of every registered machine which tasks run there. */
  get allMachinesReconciled(): boolean {
    return this.observedJobsLoaded && this.unreconciledMachines().length === 0;
  }

  /** True while the resources and team of every task that a heartbeat has shown are known. */
  get observedJobsLoaded(): boolean {
    return this.lookup.isComplete;
  }

  /** Every cancellation committed before this is known; -Infinity before the first read. */
  get cancellationsKnownUntil(): Instant {
    return this.watch.cancellationsKnownUntil;
  }

  /** What allows an answer that renews a worker's lease now; null if nothing does. */
  renewalGrant(): Granted | null {
    const decision = this.authority.renewal();
    this.renewalLog.record(decision);
    return decision.granted ? decision : null;
  }

  /** Machines of which it is not known yet whether tasks of older terms run there. */
  unreconciledMachines(): Machine[] {
    return this.fleet.unreconciledMachines();
  }

  /** False for a job that has ended, and for one that this term has not read yet. */
  isLive(job: string): boolean {
    return this.jobs.has(job);
  }

  /**
   * Placement waits until all machines are reconciled. A job that was committed, or of which a
   * predecessor ended, after this term's fencing token is an exception: no older term can have
   * started any of its tasks (docs/safety.md, Rebuild).
   */
  mayPlace(job: LiveJob, allMachinesReconciled: boolean): boolean {
    return (
      allMachinesReconciled ||
      (this.observedJobsLoaded && job.dependencies.startableSinceRevision > this.fencingToken)
    );
  }

  /** Reads the stored state and begins the periodic checks; to be called once. */
  start(): void {
    this.rebuild.load();
    this.watch.start();
    this.maintenance.start();
  }

  /** Leadership is lost: timers end at their next turn, and answers that come late are dropped. */
  close(): void {
    this.isClosed = true;
    this.machineRegistry.close();
    this.liveJobs.close();
  }

  /** A heartbeat of some worker has arrived, whether or not it may be answered. */
  recordHeartbeat(): void {
    this.newestHeartbeatAt = this.runtime.now;
  }

  private newHeartbeatProcessor(): HeartbeatProcessor {
    const { bindings, lookup, runTimeRatios, fetchSharing, machineRegistry, workerCommands } = this;
    const observed = { bindings, lookup, runTimeRatios, fetchSharing };
    const taskObserver = new TaskObserver(this.runtime, this, observed);
    const targets = { bindings, machineRegistry, taskObserver, workerCommands };
    return new HeartbeatProcessor(this.runtime, this, targets);
  }

  private newRebuild(state: StateStore): Rebuild {
    const { machineRegistry, liveJobs, strayKeys, watch } = this;
    const targets = { machineRegistry, liveJobs, strayKeys, watch };
    return new Rebuild(this.runtime, state, this, targets, () => (this.isStateLoaded = true));
  }

  /** The tasks of an ended job must be gone from their machines within the cancellation limit. */
  private discardBindingsOf(job: LiveJob): void {
    for (const binding of job.bindings.values()) {
      this.bindings.discard(binding, 'job ended');
      this.bindings.setTerminationDeadline(binding, this.runtime.now);
    }
  }
}
