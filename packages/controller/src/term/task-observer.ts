/** Applies the task list of a heartbeat to bindings, job progress and learned statistics. */
import { splitTaskId, type TaskStatus } from '@tealdock/wire';
import type { ActiveTaskState } from '../jobs/binding-phase.js';
import { bindingKey, type Binding } from '../jobs/binding.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { FetchSharing } from '../machines/fetch-sharing.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import { FailureRecorder } from './failure-recorder.js';
import type { RunTimeRatios } from './run-time-ratios.js';
import type { TermView } from './term-view.js';

/** The parts of a term that the task list of a heartbeat may change. */
export interface ObservationTargets {
  readonly bindings: Bindings;
  readonly lookup: EndedJobLookup;
  readonly runTimeRatios: RunTimeRatios;
  readonly fetchSharing: FetchSharing;
}

/** Reconciles the bindings of a machine with the tasks that its newest heartbeat lists. */
export class TaskObserver {
  private readonly failures: FailureRecorder;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermView,
    private readonly targets: ObservationTargets,
  ) {
    this.failures = new FailureRecorder(runtime);
  }

  /** Applies a counted heartbeat, which lists exactly the tasks that are on the machine. */
  observe(machine: Machine, tasks: TaskStatus[]): void {
    for (const status of tasks) this.observeTask(machine, status);
    this.endUnlisted(machine, tasks);
  }

  private observeTask(machine: Machine, status: TaskStatus): void {
    const bound = machine.bindings.get(bindingKey(status.task, status.attempt));
    const { state } = status;
    if (state === 'exited') return this.observeExit(machine, status, bound);
    if (bound?.taskState === state) return;
    const wasRunning = bound !== undefined && bound.runningSince !== null;
    const binding = bound ?? this.adopt(machine, { ...status, state });
    machine.health.recordTaskObserved();
    bound?.observe(state, this.runtime.now);
    if (state !== 'fetching') {
      this.recordImageFetched(machine, binding);
      if (!wasRunning) this.recordRunning(machine, binding);
    } else if (this.term.jobs.get(binding.job)?.spec.kind === 'array') {
      machine.recordImageMissing(binding, this.runtime.now);
    }
  }

  /** Binds a listed task that this term has not assigned to the machine. */
  private adopt(machine: Machine, task: TaskStatus & { state: ActiveTaskState }): Binding {
    const binding = this.targets.bindings.adopt(machine, task);
    if (!this.term.jobs.has(binding.job)) this.targets.lookup.lookUp(binding);
    return binding;
  }

  private recordImageFetched(machine: Machine, { image, imageGb }: Binding): void {
    if (image === null) return;
    const fetch = machine.recordImageFetched(image, imageGb, this.runtime.now);
    if (fetch) this.targets.fetchSharing.record(fetch);
  }

  private recordRunning(machine: Machine, binding: Binding): void {
    if (binding.isDispatchedByThisTerm) {
      const sinceAssignmentMs = this.runtime.now - binding.assignedAt;
      this.runtime.stats.record('starts.booked_to_running_ms', sinceAssignmentMs);
    }
    this.runtime.log('debug', { task: binding.task, machine: machine.id }, 'task running');
  }

  private observeExit(machine: Machine, status: TaskStatus, bound: Binding | undefined): void {
    if (bound) this.endExited(machine, bound, status);
    const parsed = splitTaskId(status.task);
    const job = parsed ? this.term.jobs.get(parsed.job) : undefined;
    if (!job || !parsed || parsed.index >= job.spec.taskCount || status.reason !== 'done') return;
    job.markDone(parsed.index);
    const duplicate = job.bindings.get(parsed.index);
    if (duplicate) this.targets.bindings.discard(duplicate, 'done elsewhere');
  }

  private endExited(machine: Machine, binding: Binding, status: TaskStatus): void {
    const job = binding.isOrphaned ? undefined : this.term.jobs.get(binding.job);
    if (status.reason === 'done') {
      this.failures.recordCompletion(machine, job);
      if (job) this.recordRunTime(job, binding);
      job?.markDone(binding.index);
    } else if (status.reason === 'error' || status.reason === 'unknown') {
      this.failures.recordFailure(machine, job, status);
    }
    this.targets.bindings.end(binding, status.reason ?? 'exited');
  }

  private recordRunTime(job: LiveJob, binding: Binding): void {
    if (binding.runningSince === null || job.spec.estimate <= 0) return;
    const ratio = (this.runtime.now - binding.runningSince) / job.spec.estimate;
    this.targets.runTimeRatios.recordCompletion(job.spec.jobClass, ratio);
  }

  /** Ends bindings whose dispatched tasks are not listed: they have ended or never arrived. */
  private endUnlisted(machine: Machine, tasks: TaskStatus[]): void {
    const listed = new Set(tasks.map(({ task, attempt }) => bindingKey(task, attempt)));
    let isStartLost = false;
    for (const [key, binding] of [...machine.bindings]) {
      if (binding.isAssigned || listed.has(key)) continue;
      isStartLost ||= binding.isDispatched;
      this.targets.bindings.end(binding, 'not on the machine');
    }
    if (!isStartLost) return;
    this.failures.recordLostStart(machine);
    this.targets.bindings.releaseUndispatched(machine);
  }
}
