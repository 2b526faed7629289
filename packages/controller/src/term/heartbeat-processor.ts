/** What reports of workers tell a term: tasks that run, exited, or never arrived. */
import {
  splitTaskId,
  type WorkerCommand,
  type TaskStatus,
  type WorkerHeartbeat,
} from '@tealdock/wire';
import { NO_RESOURCES, resourcesOf } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import { bindingKey, type Binding } from '../jobs/binding.js';
import type { FetchSharing } from '../machines/image-fetches.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import type { MachineRegistry } from './machine-registry.js';
import type { RunTimeRatios } from './run-time-ratios.js';
import type { WorkerCommands } from './worker-commands.js';
import type { TermView } from './term-view.js';

/** A machine on which so many tasks in a row failed is quarantined; so is a job. */
const MAX_FAILURES = 3;
const QUARANTINE = 120_000;
/** How long a machine is quarantined whose start never showed up; fourfold each time. */
const LOST_START_QUARANTINE = 3000;
const LOST_START_FACTOR = 4;
/** A job that fails everywhere is tried again after a second, then twice as late each time. */
const FIRST_BACKOFF = 1000;
const MAX_BACKOFF = 60_000;
/** A worker learns the token from the first answer that it hears. */
const MISSED_ANSWERS_PATIENCE = 8000;

/** What came of a report. */
export interface HeartbeatOutcome {
  /** False for a report that is late, or made under another token. */
  counted: boolean;
  /** False if it must not get the answer that renews its lease. */
  answered: boolean;
  commands: WorkerCommand[];
}
const UNANSWERED: HeartbeatOutcome = { counted: false, answered: false, commands: [] };

/** The parts of a term that heartbeats change. */
export interface HeartbeatTargets {
  readonly bindings: Bindings;
  readonly lookup: EndedJobLookup;
  readonly workerCommands: WorkerCommands;
  readonly machineRegistry: MachineRegistry;
  readonly runTimeRatios: RunTimeRatios;
  readonly fetchSharing: FetchSharing;
}

/** Takes reports in. What a late one says, or one under another token, changes nothing. */
export class HeartbeatProcessor {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermView,
    private readonly targets: HeartbeatTargets,
  ) {}

  /** Takes in a report; its answer may carry the orders. */
  process(report: WorkerHeartbeat): HeartbeatOutcome {
    if (this.targets.machineRegistry.isTerminated(report.machine)) return UNANSWERED;
    const machine = this.targets.machineRegistry.getOrAdd(report.machine, report);
    if (this.missesAnswers(machine, report)) return UNANSWERED;
    // Its lease is renewed by the answer, whatever the report is worth otherwise.
    machine.lastLeaseRenewalAt = this.runtime.now;
    // Tasks of a report sent before the worker saw this token may be outdated by
    // a start of the term before; a late report is outdated by a newer one.
    if (report.fencingToken !== this.term.fencingToken || !machine.isNewer(report))
      return this.uncounted(report);
    this.apply(report);
    return {
      counted: true,
      answered: true,
      commands: this.targets.workerCommands.dispatchCommands(machine.id),
    };
  }

  /** It changes nothing, but the answer renews a lease: what is over has to stop. */
  private uncounted({ machine, tasks }: WorkerHeartbeat): HeartbeatOutcome {
    return {
      counted: false,
      answered: true,
      commands: this.targets.workerCommands.stopsForEndedJobs(machine, tasks),
    };
  }

  /**
   * Its reports go on under an older token although they were answered under ours: it
   * hears nothing. Each answer would make its lease look renewed, and the whole fleet
   * would wait for it for as long as that lasts. Without answers its lease surely ends.
   */
  private missesAnswers(machine: Machine, report: WorkerHeartbeat): boolean {
    if (machine.reconciled || report.fencingToken === this.term.fencingToken) return false;
    machine.firstLeaseRenewalAt ??= this.runtime.now;
    return this.runtime.now - machine.firstLeaseRenewalAt > MISSED_ANSWERS_PATIENCE;
  }

  private apply(report: WorkerHeartbeat): void {
    const machine = this.targets.machineRegistry.getOrAdd(report.machine, report);
    if (report.agentEpoch > machine.agentEpoch)
      this.targets.bindings.endDispatched(machine, 'session ended');
    machine.agentEpoch = report.agentEpoch;
    machine.sequenceNumber = report.sequenceNumber;
    machine.address = report.address;
    machine.lastLeaseRenewalAt ??= this.runtime.now;
    machine.lastHeartbeatAt = this.runtime.now;
    machine.preemptionDeadline =
      report.preemptionNotice === null ? null : this.runtime.now + report.preemptionNotice;
    machine.reconciled = true;
    machine.exitedTasks = report.tasks.filter((t) => t.state === 'exited');
    for (const t of report.tasks) this.absorbTask(machine, t);
    this.endMissing(machine, report);
    this.targets.machineRegistry.registerIfNew(machine);
  }

  private endMissing(machine: Machine, report: WorkerHeartbeat): void {
    const listed = new Set(report.tasks.map((t) => bindingKey(t.task, t.attempt)));
    let lost = false;
    for (const [key, binding] of [...machine.bindings]) {
      if (binding.phase === 'assigned' || listed.has(key)) continue;
      lost ||= binding.phase === 'dispatched';
      this.targets.bindings.end(binding, 'not on the machine');
    }
    if (lost) this.noteLostStart(machine);
  }

  /**
   * Reports of a machine may arrive while no answer reaches it. It then looks idle,
   * the best of volunteers, and would eat start after start.
   */
  private noteLostStart(machine: Machine): void {
    const quarantine = Math.min(
      QUARANTINE,
      LOST_START_QUARANTINE * LOST_START_FACTOR ** machine.consecutiveLostStarts++,
    );
    machine.quarantinedUntil = Math.max(machine.quarantinedUntil, this.runtime.now + quarantine);
    this.runtime.env.log(
      'info',
      { machine: machine.id, lostStarts: machine.consecutiveLostStarts, quarantineMs: quarantine },
      'start lost',
    );
    this.targets.bindings.releaseUndispatched(machine);
  }

  private absorbTask(machine: Machine, t: TaskStatus): void {
    const bound = machine.bindings.get(bindingKey(t.task, t.attempt));
    if (t.state === 'exited') return this.absorbExit(machine, t, bound);
    const binding = bound ?? this.adopt(machine, t);
    if (binding.phase === 'observed' && binding.state === t.state) return;
    machine.consecutiveLostStarts = 0;
    binding.phase = 'observed';
    if (t.state !== 'fetching') this.noteStart(machine, binding);
    else if (this.term.jobs.get(binding.job)?.spec.kind === 'array')
      machine.recordImageMissing(binding, this.runtime.now);
    binding.state = t.state;
    machine.invalidateSums();
  }

  private noteStart(machine: Machine, binding: Binding): void {
    if (binding.image !== null) this.noteImage(machine, binding.image, binding.imageGb);
    if (binding.runningSince !== null) return;
    binding.runningSince = this.runtime.now;
    if (binding.phase === 'observed' && binding.dispatchedSequenceNumber > 0) {
      this.runtime.stats.record(
        'starts.booked_to_running_ms',
        this.runtime.now - binding.assignedAt,
      );
    }
    this.runtime.env.log('debug', { task: binding.task, machine: machine.id }, 'task running');
  }

  private noteImage(machine: Machine, image: string, gb: number): void {
    const fetch = machine.fetches.end(image, this.runtime.now);
    if (fetch) this.targets.fetchSharing.note(fetch);
    machine.recordImage(image, gb);
  }

  private absorbExit(machine: Machine, t: TaskStatus, bound: Binding | undefined): void {
    const at = splitTaskId(t.task);
    const job = at ? this.term.jobs.get(at.job) : undefined;
    if (bound) this.endExited(machine, bound, t);
    if (!job || !at || at.index >= job.spec.taskCount || t.reason !== 'done') return;
    job.markDone(at.index);
    const other = job.bindings.get(at.index);
    if (other) this.targets.bindings.discard(other, 'done elsewhere');
  }

  private endExited(machine: Machine, binding: Binding, t: TaskStatus): void {
    const job = binding.orphaned ? undefined : this.term.jobs.get(binding.job);
    if (t.reason === 'done') {
      machine.consecutiveFailures = 0;
      if (job) this.learn(job, binding);
    } else if (t.reason === 'error' || t.reason === 'unknown') {
      this.noteFailure(machine, job, t);
    }
    if (job && t.reason === 'done') job.markDone(binding.index);
    this.targets.bindings.end(binding, t.reason ?? 'exited');
  }

  private learn(job: LiveJob, binding: Binding): void {
    job.consecutiveFailures = 0;
    if (binding.runningSince === null || job.spec.estimate <= 0) return;
    const ratio = (this.runtime.now - binding.runningSince) / job.spec.estimate;
    this.targets.runTimeRatios.recordCompletion(job.spec.jobClass, ratio);
  }

  /** Mostly the machine is at fault; a job with a mistake fails on every machine. */
  private noteFailure(machine: Machine, job: LiveJob | undefined, t: TaskStatus): void {
    this.runtime.env.log(
      'info',
      { machine: machine.id, task: t.task, reason: t.reason },
      'task failed',
    );
    if (t.reason === 'error' && (job?.consecutiveFailures ?? 0) < MAX_FAILURES)
      machine.consecutiveFailures++;
    if (machine.consecutiveFailures >= MAX_FAILURES)
      machine.quarantinedUntil = this.runtime.now + QUARANTINE;
    if (!job) return;
    job.consecutiveFailures++;
    if (job.consecutiveFailures < MAX_FAILURES) return;
    job.backoffUntil =
      this.runtime.now +
      Math.min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (job.consecutiveFailures - MAX_FAILURES));
  }

  /** A task found on a machine without a binding of this term. */
  private adopt(machine: Machine, t: TaskStatus): Binding {
    const at = splitTaskId(t.task) ?? { job: t.task, index: 0 };
    const job = this.term.jobs.get(at.job);
    const wanted = job !== undefined && needsTask(job, at.index);
    const binding: Binding = {
      ...requirementsOf(job),
      task: t.task,
      job: at.job,
      index: at.index,
      attempt: t.attempt,
      machine: machine.id,
      phase: 'observed',
      assignedAt: this.runtime.now,
      dispatchedAgentEpoch: 0,
      dispatchedSequenceNumber: 0,
      state: null,
      runningSince: null,
      stopRequest: wanted ? null : { gracePeriod: 0, reason: 'not wanted' },
      protectedFromPreemption: false,
      orphaned: !wanted,
      terminationDeadline: null,
    };
    this.targets.bindings.bind(machine, binding);
    if (wanted) {
      job.bindings.set(binding.index, binding);
      job.openTasks.delete(binding.index);
    }
    if (!job) this.targets.lookup.lookUp(binding);
    return binding;
  }
}

/** The task is one of the job's, and is neither done nor bound to another machine. */
function needsTask(job: LiveJob, index: number): boolean {
  return index < job.spec.taskCount && !job.isDone(index) && !job.bindings.has(index);
}

/** What a task of the job takes; nothing where the job is not known, until it is looked up. */
function requirementsOf(
  job: LiveJob | undefined,
): Pick<Binding, 'team' | 'resources' | 'image' | 'imageGb'> {
  if (!job) return { team: '', resources: NO_RESOURCES, image: null, imageGb: 0 };
  const { team, image, imageGb } = job.spec;
  return { team, resources: resourcesOf(job.spec), image, imageGb };
}
