/** What reports of workers tell a term: tasks that run, exited, or never arrived. */
import {
  splitTaskId,
  type WorkerCommand,
  type TaskStatus,
  type WorkerHeartbeat,
} from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import { bindingKey, type Binding } from '../jobs/binding.js';
import type { ActiveTaskState } from '../jobs/binding-phase.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import type { Membership } from './membership.js';
import type { WorkerCommands } from './worker-commands.js';
import type { TermState } from './term-state.js';

/** A worker learns the token from the first answer that it hears. */
const MISSED_ANSWERS_PATIENCE = 8000;
/** Weight of the newest task in the learnt ratio of run times, and what it may tell at most. */
const RATIO_WEIGHT = 0.1;
const MAX_RATIO = 10;

/** What came of a report. */
export interface HeartbeatOutcome {
  /** False for a report that is late, or made under another token. */
  counted: boolean;
  /** False if it must not get the answer that renews its lease. */
  answered: boolean;
  commands: WorkerCommand[];
}
const UNANSWERED: HeartbeatOutcome = { counted: false, answered: false, commands: [] };

/** Takes reports in. What a late one says, or one under another token, changes nothing. */
export class HeartbeatProcessor {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermState,
    private readonly bindings: Bindings,
    private readonly lookup: EndedJobLookup,
    private readonly orders: WorkerCommands,
    private readonly membership: Membership,
  ) {}

  /** Takes in a report; its answer may carry the orders. */
  process(report: WorkerHeartbeat): HeartbeatOutcome {
    if (this.membership.isTerminated(report.machine)) return UNANSWERED;
    const machine = this.machineOf(report);
    if (this.missesAnswers(machine, report)) return UNANSWERED;
    // Its lease is renewed by the answer, whatever the report is worth otherwise.
    machine.heartbeats.recordLeaseRenewal(this.runtime.now);
    // Tasks of a report sent before the worker saw this token may be outdated by
    // a start of the term before; a late report is outdated by a newer one.
    if (report.fencingToken !== this.term.fencingToken || !machine.heartbeats.isNewer(report))
      return this.uncounted(report);
    this.apply(report);
    return { counted: true, answered: true, commands: this.orders.collectCommands(machine) };
  }

  /** It changes nothing, but the answer renews a lease: what is over has to stop. */
  private uncounted({ machine, tasks }: WorkerHeartbeat): HeartbeatOutcome {
    return {
      counted: false,
      answered: true,
      commands: this.orders.stopsForEndedJobs(machine, tasks),
    };
  }

  /**
   * Its reports go on under an older token although they were answered under ours: it
   * hears nothing. Each answer would make its lease look renewed, and the whole fleet
   * would wait for it for as long as that lasts. Without answers its lease surely ends.
   */
  private missesAnswers(machine: Machine, report: WorkerHeartbeat): boolean {
    if (machine.registration.isReconciled || report.fencingToken === this.term.fencingToken)
      return false;
    return machine.heartbeats.recordOlderToken(this.runtime.now) > MISSED_ANSWERS_PATIENCE;
  }

  private machineOf(report: WorkerHeartbeat): Machine {
    let machine = this.term.machines.get(report.machine);
    if (!machine) {
      machine = this.membership.newMachine(report.machine, report);
      // Not in the machine registry, so no term has ever sent a start to it.
      machine.registration.markReconciled();
      this.term.machines.set(machine.id, machine);
    }
    machine.registration.recordObserved(this.runtime.now);
    return machine;
  }

  private apply(report: WorkerHeartbeat): void {
    const machine = this.machineOf(report);
    if (report.agentEpoch > machine.heartbeats.agentEpoch)
      this.bindings.endDispatched(machine, 'session ended');
    machine.heartbeats.record(report, this.runtime.now);
    machine.registration.markReconciled();
    for (const t of report.tasks) this.absorbTask(machine, t);
    this.endMissing(machine, report);
    this.membership.registerIfNew(machine);
  }

  private endMissing(machine: Machine, report: WorkerHeartbeat): void {
    const listed = new Set(report.tasks.map((t) => bindingKey(t.task, t.attempt)));
    let lost = false;
    for (const [key, binding] of [...machine.bindings]) {
      if (binding.isAssigned || listed.has(key)) continue;
      lost ||= binding.isDispatched;
      this.bindings.end(binding, 'not on the machine');
    }
    if (lost) this.noteLostStart(machine);
  }

  /**
   * Reports of a machine may arrive while no answer reaches it. It then looks idle,
   * the best of volunteers, and would eat start after start.
   */
  private noteLostStart(machine: Machine): void {
    const quarantineMs = machine.health.recordLostStart(this.runtime.now);
    const lostStarts = machine.health.consecutiveLostStartCount;
    this.runtime.env.log('info', { machine: machine.id, lostStarts, quarantineMs }, 'start lost');
    this.bindings.releaseUndispatched(machine);
  }

  private absorbTask(machine: Machine, task: TaskStatus): void {
    const bound = machine.bindings.get(bindingKey(task.task, task.attempt));
    const { state } = task;
    if (state === 'exited') return this.absorbExit(machine, task, bound);
    if (bound?.taskState === state) return;
    const wasRunning = bound !== undefined && bound.runningSince !== null;
    const binding = bound ?? this.adopt(machine, { ...task, state });
    machine.health.recordTaskObserved();
    bound?.observe(state, this.runtime.now);
    if (state !== 'fetching') {
      if (binding.image !== null) this.noteImage(machine, binding.image, binding.imageGb);
      if (!wasRunning) this.recordRunning(machine, binding);
    } else if (this.term.jobs.get(binding.job)?.spec.kind === 'array') {
      machine.recordImageMissing(binding, this.runtime.now);
    }
  }

  /** A task found on a machine without a binding of this term. */
  private adopt(machine: Machine, task: TaskStatus & { state: ActiveTaskState }): Binding {
    const binding = this.bindings.adopt(machine, task);
    if (!this.term.jobs.has(binding.job)) this.lookup.lookUp(binding);
    return binding;
  }

  private recordRunning(machine: Machine, binding: Binding): void {
    if (binding.isDispatchedByThisTerm) {
      this.runtime.stats.record(
        'starts.booked_to_running_ms',
        this.runtime.now - binding.assignedAt,
      );
    }
    this.runtime.env.log('debug', { task: binding.task, machine: machine.id }, 'task running');
  }

  private noteImage(machine: Machine, image: string, gb: number): void {
    const fetch = machine.recordImageFetched(image, gb, this.runtime.now);
    if (fetch) this.term.fetchSharing.record(fetch);
  }

  private absorbExit(machine: Machine, t: TaskStatus, bound: Binding | undefined): void {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (bound) this.endExited(machine, bound, t);
    if (!job || !at || at.index >= job.spec.taskCount || t.reason !== 'done') return;
    job.markDone(at.index);
    const other = job.bindings.get(at.index);
    if (other) this.bindings.discard(other, 'done elsewhere');
  }

  private endExited(machine: Machine, binding: Binding, t: TaskStatus): void {
    const job = binding.isOrphaned ? undefined : this.term.jobs.get(binding.job);
    if (t.reason === 'done') {
      machine.health.recordTaskSuccess();
      if (job) this.learn(job, binding);
    } else if (t.reason === 'error' || t.reason === 'unknown') {
      this.noteFailure(machine, job, t);
    }
    if (job && t.reason === 'done') job.markDone(binding.index);
    this.bindings.end(binding, t.reason ?? 'exited');
  }

  private learn(job: LiveJob, binding: Binding): void {
    job.backoff.recordSuccess();
    if (binding.runningSince === null || job.spec.estimate <= 0) return;
    const ratio = (this.runtime.now - binding.runningSince) / job.spec.estimate;
    const known = this.term.runTimeRatios.get(job.spec.jobClass) ?? 1;
    this.term.runTimeRatios.set(
      job.spec.jobClass,
      known * (1 - RATIO_WEIGHT) + Math.min(ratio, MAX_RATIO) * RATIO_WEIGHT,
    );
  }

  /** Mostly the machine is at fault; a job with a mistake fails on every machine. */
  private noteFailure(machine: Machine, job: LiveJob | undefined, t: TaskStatus): void {
    this.runtime.env.log(
      'info',
      { machine: machine.id, task: t.task, reason: t.reason },
      'task failed',
    );
    const isMachineAtFault = t.reason === 'error' && !job?.backoff.isJobAtFault;
    machine.health.recordTaskFailure(isMachineAtFault, this.runtime.now);
    job?.backoff.recordFailure(this.runtime.now);
  }
}
