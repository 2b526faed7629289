/** What the tasks in a heartbeat change: bindings, progress, and what is learnt from them. */
import { splitTaskId, type TaskStatus } from '@tealdock/wire';
import { NO_RESOURCES, resourcesOf } from '@tealdock/scheduler';
import { bindingKey, type Binding } from '../jobs/binding.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { FetchSharing } from '../machines/image-fetches.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Bindings } from './bindings.js';
import type { EndedJobLookup } from './ended-job-lookup.js';
import { Quarantine } from './quarantine.js';
import type { RunTimeRatios } from './run-time-ratios.js';
import type { TermView } from './term-view.js';

/** The parts of a term that observed tasks change. */
export interface ObservationTargets {
  readonly bindings: Bindings;
  readonly lookup: EndedJobLookup;
  readonly runTimeRatios: RunTimeRatios;
  readonly fetchSharing: FetchSharing;
}

/** Brings the bindings of a machine in line with the tasks that its newest heartbeat lists. */
export class TaskObserver {
  private readonly quarantine: Quarantine;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermView,
    private readonly targets: ObservationTargets,
  ) {
    this.quarantine = new Quarantine(runtime);
  }

  /** Applies a counted heartbeat: what it lists is on the machine, and nothing else is. */
  observe(machine: Machine, tasks: TaskStatus[]): void {
    for (const status of tasks) this.observeTask(machine, status);
    this.endMissing(machine, tasks);
  }

  private observeTask(machine: Machine, status: TaskStatus): void {
    const bound = machine.bindings.get(bindingKey(status.task, status.attempt));
    if (status.state === 'exited') return this.observeExit(machine, status, bound);
    const binding = bound ?? this.adopt(machine, status);
    if (binding.phase === 'observed' && binding.state === status.state) return;
    this.quarantine.recordObservedTask(machine);
    binding.phase = 'observed';
    if (status.state !== 'fetching') this.observeRunning(machine, binding);
    else if (this.term.jobs.get(binding.job)?.spec.kind === 'array')
      machine.recordImageMissing(binding, this.runtime.now);
    binding.state = status.state;
    machine.invalidateSums();
  }

  private observeRunning(machine: Machine, binding: Binding): void {
    if (binding.image !== null) this.recordImageFetched(machine, binding.image, binding.imageGb);
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

  private recordImageFetched(machine: Machine, image: string, gb: number): void {
    const fetch = machine.fetches.end(image, this.runtime.now);
    if (fetch) this.targets.fetchSharing.note(fetch);
    machine.recordImage(image, gb);
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
    const job = binding.orphaned ? undefined : this.term.jobs.get(binding.job);
    if (status.reason === 'done') {
      this.quarantine.recordCompletion(machine, job);
      if (job) this.recordRunTime(job, binding);
      job?.markDone(binding.index);
    } else if (status.reason === 'error' || status.reason === 'unknown') {
      this.quarantine.recordFailure(machine, job, status);
    }
    this.targets.bindings.end(binding, status.reason ?? 'exited');
  }

  private recordRunTime(job: LiveJob, binding: Binding): void {
    if (binding.runningSince === null || job.spec.estimate <= 0) return;
    const ratio = (this.runtime.now - binding.runningSince) / job.spec.estimate;
    this.targets.runTimeRatios.recordCompletion(job.spec.jobClass, ratio);
  }

  /** A heartbeat lists all tasks of its machine: what it lacks has ended, or never arrived. */
  private endMissing(machine: Machine, tasks: TaskStatus[]): void {
    const listed = new Set(tasks.map(({ task, attempt }) => bindingKey(task, attempt)));
    let isStartLost = false;
    for (const [key, binding] of [...machine.bindings]) {
      if (binding.phase === 'assigned' || listed.has(key)) continue;
      isStartLost ||= binding.phase === 'dispatched';
      this.targets.bindings.end(binding, 'not on the machine');
    }
    if (!isStartLost) return;
    this.quarantine.recordLostStart(machine);
    this.targets.bindings.releaseUndispatched(machine);
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
