/** The commands that go to a worker in the answer to its heartbeat. */
import {
  splitTaskId,
  type Duration,
  type MachineType,
  type WorkerCommand,
  type TaskStatus,
} from '@tealdock/wire';
import { NO_RESOURCES, fits, minResources, resourcesOf, type Resources } from '@tealdock/scheduler';
import type { Authority } from '../authority/authority.js';
import { evidenceFields, type Evidence } from '../authority/decision.js';
import type { Binding } from '../jobs/binding.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { BindingInvariants } from './binding-invariants.js';
import type { TermView } from './term-view.js';

/** Logged reason for stopping a task that this term has no binding for. */
const JOB_NOT_LIVE_REASON = 'job not live';

/** Start, stop and forget commands. Nothing else starts a task (docs/safety.md, Starts). */
export class WorkerCommands {
  /** No task of a live job needs less of any resource than this. */
  private smallestTask: Resources = NO_RESOURCES;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermView,
    private readonly authority: Authority,
    private readonly invariants: BindingInvariants,
  ) {}

  /** Computes the least resources that a task of any live job needs. */
  updateSmallestTask(): void {
    const needed = [...this.term.jobs.values()].map((job) => resourcesOf(job.spec));
    this.smallestTask = needed.length > 0 ? needed.reduce(minResources) : NO_RESOURCES;
  }

  /**
   * True if an answer to the machine's newest heartbeat would carry a start or a stop now; true
   * for an unknown machine too. Changes nothing.
   */
  hasPendingCommands(machineId: string): boolean {
    const machine = this.term.machines.get(machineId);
    if (!machine) return true;
    for (const binding of machine.bindings.values()) {
      const isPending = binding.isAssigned
        ? this.mayStart(machine)
        : this.stopCommandFor(binding) !== null;
      if (isPending) return true;
    }
    return false;
  }

  /**
   * How long an answer without commands may be held back, in ms. Zero for a machine without
   * capacity for the smallest task: it can get no start, and its next heartbeat, which may show
   * the end of a task, should not be delayed.
   */
  longPollTimeoutOf(machineId: string, type: MachineType): Duration {
    const machine = this.term.machines.get(machineId);
    if (!machine || machine.registration.isReturning) return 0;
    if (machine.heartbeats.preemptionDeadline !== null) return 0;
    return fits(this.smallestTask, machine.free(type))
      ? this.runtime.operator.window.longPollTimeout
      : 0;
  }

  /**
   * The commands of the answer to the machine's newest heartbeat, to be sent at once: assigned
   * tasks count as dispatched from now on. Empty for an unknown machine.
   */
  dispatchCommands(machineId: string): WorkerCommand[] {
    const machine = this.term.machines.get(machineId);
    if (!machine) return [];
    const commands: WorkerCommand[] = [];
    for (const { task, attempt, reason } of machine.heartbeats.exitedTasks) {
      if (this.mayForget(task, reason)) commands.push({ op: 'forget', task, attempt });
    }
    let assignedCount = 0;
    for (const binding of machine.bindings.values()) {
      if (binding.isAssigned) assignedCount++;
      else this.invariants.checkRenewal(binding);
      const stop = this.stopCommandFor(binding);
      if (stop) commands.push(stop);
    }
    if (assignedCount > 0) commands.push(...this.dispatchStarts(machine));
    return commands;
  }

  /**
   * Stops for a heartbeat that is not counted, since it is late or carries another fencing token.
   * Its answer renews the worker's lease all the same, so tasks of ended jobs must be stopped.
   */
  stopsForEndedJobs(machine: string, tasks: TaskStatus[]): WorkerCommand[] {
    return tasks
      .filter(({ task, state }) => state !== 'exited' && this.authority.mayStop(jobOf(task)))
      .map(({ task, attempt }) => {
        this.runtime.stats.count('stops.uncounted');
        this.runtime.log(
          'debug',
          { task, attempt, machine, reason: JOB_NOT_LIVE_REASON },
          'stop dispatched',
        );
        return { op: 'stop', task, attempt, gracePeriod: 0 };
      });
  }

  private dispatchStarts(machine: Machine): WorkerCommand[] {
    const decision = this.authority.start(machine.registration);
    if (!decision.granted) {
      this.runtime.stats.count(`starts.refused.${decision.reason}`);
      const fields = { machine: machine.id, reason: decision.reason };
      const evidence = evidenceFields(decision.evidence);
      this.runtime.log('debug', { ...fields, ...evidence }, 'starts refused');
      return [];
    }
    this.runtime.stats.record('evidence.start_age_ms', decision.evidence.age);
    const starts: WorkerCommand[] = [];
    for (const binding of machine.bindings.values()) {
      if (!binding.isAssigned || this.invariants.violatesStart(binding)) continue;
      starts.push(this.dispatchStart(machine, binding, decision.evidence));
    }
    return starts;
  }

  private dispatchStart(machine: Machine, binding: Binding, evidence: Evidence): WorkerCommand {
    binding.dispatch(machine.heartbeats.sequenceNumber);
    machine.recordStartDispatched(binding, this.runtime.now);
    this.runtime.stats.record('starts.booked_to_sent_ms', this.runtime.now - binding.assignedAt);
    this.runtime.log(
      'debug',
      {
        task: binding.task,
        attempt: binding.attempt,
        machine: machine.id,
        ...evidenceFields(evidence),
      },
      'start dispatched',
    );
    return { op: 'start', task: binding.task, attempt: binding.attempt };
  }

  /** Null unless the task is to be stopped now; one that saves its state is left to finish. */
  private stopCommandFor(binding: Binding): WorkerCommand | null {
    if (!binding.stopRequest || !binding.isObserved) return null;
    if (binding.taskState === 'saving' && binding.stopRequest.gracePeriod > 0) return null;
    return {
      op: 'stop',
      task: binding.task,
      attempt: binding.attempt,
      gracePeriod: binding.stopRequest.gracePeriod,
    };
  }

  /** A task that is done may be forgotten once the state service has it, any other at once. */
  private mayForget(task: string, reason: TaskStatus['reason']): boolean {
    const parsed = splitTaskId(task);
    const job = parsed ? this.term.jobs.get(parsed.job) : undefined;
    if (!job || !parsed || reason !== 'done') return true;
    return job.progress.isCommitted(parsed.index);
  }

  private mayStart(machine: Machine): boolean {
    return this.authority.start(machine.registration).granted;
  }
}

/** The job of a task; an identifier that can't be parsed stands for itself. */
const jobOf = (task: string): string => splitTaskId(task)?.job ?? task;
