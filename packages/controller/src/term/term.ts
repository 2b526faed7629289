/** One term of leadership, and the parts that it consists of. */
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
 * The leader's state in one term of leadership: live jobs, machines, and bindings of tasks to
 * machines. It is rebuilt from the state service and from heartbeats that carry this term's fencing
 * token. A dispatched binding ends only with proof (docs/safety.md).
 *
 * Each part owns its state and gives the other parts a read-only view: only `LiveJobs` adds and
 * removes live jobs, only `Fleet` machines, and only `Bindings` updates the sums over bindings.
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

  /** Live jobs by identifier, in the order in which they became known. */
  get jobs(): ReadonlyMap<string, LiveJob> {
    return this.liveJobs.jobs;
  }

  /** Machines by identifier, in the order in which they became known. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.fleet.machines;
  }

  /** Sums over all bindings: resources by team, and counts by job and zone. */
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

  /** Tells when the leases of workers have certainly expired. */
  get leaseExpiry(): LeaseExpiry {
    return this.maintenance.leaseExpiry;
  }

  /** When the newest heartbeat of any worker arrived, counted or not; initially the election. */
  get lastHeartbeatAt(): Instant {
    return this.newestHeartbeatAt;
  }

  /** True while the tasks on every registered machine are known, with their resources and teams. */
  get allMachinesReconciled(): boolean {
    return this.observedJobsLoaded && this.unreconciledMachines().length === 0;
  }

  /** True while the resources and team of every task listed in a heartbeat are known. */
  get observedJobsLoaded(): boolean {
    return this.lookup.isComplete;
  }

  /** All cancellations committed before this instant are known; -Infinity before the first read. */
  get cancellationsKnownUntil(): Instant {
    return this.watch.cancellationsKnownUntil;
  }

  /** The permission to renew worker leases now; null if it is refused. Logs each change. */
  renewalGrant(): Granted | null {
    const decision = this.authority.renewal();
    this.renewalLog.record(decision);
    return decision.granted ? decision : null;
  }

  /** Machines on which tasks of earlier terms may run that this term does not know of yet. */
  unreconciledMachines(): Machine[] {
    return this.fleet.unreconciledMachines();
  }

  /** True if the job is live; false also for a job that this term has not read yet. */
  isLive(job: string): boolean {
    return this.jobs.has(job);
  }

  /**
   * Whether tasks of the job may be placed. Placement waits until all machines are reconciled,
   * except for a job that was committed, or a predecessor of which ended, at a later revision than
   * this term's fencing token, since no earlier term can have started its tasks (docs/safety.md,
   * Rebuild).
   */
  mayPlace(job: LiveJob, allMachinesReconciled: boolean): boolean {
    return (
      allMachinesReconciled ||
      (this.observedJobsLoaded && job.dependencies.startableSinceRevision > this.fencingToken)
    );
  }

  /** Starts to load the stored state and starts the periodic checks. To be called once. */
  start(): void {
    this.rebuild.load();
    this.watch.start();
    this.maintenance.start();
  }

  /** Ends the term: timers stop when next due, and results of pending calls are dropped. */
  close(): void {
    this.isClosed = true;
    this.machineRegistry.close();
    this.liveJobs.close();
  }

  /** Records that a worker's heartbeat has arrived, whether or not it may be answered. */
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

  /** Stops the tasks of an ended job; they must have ended within the cancellation limit. */
  private discardBindingsOf(job: LiveJob): void {
    for (const binding of job.bindings.values()) {
      this.bindings.discard(binding, 'job ended');
      this.bindings.setTerminationDeadline(binding, this.runtime.now);
    }
  }
}
