/** Commands that a worker receives in responses to its heartbeats. */
import {
  CommandBudget,
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

/** A worker drops the response to a heartbeat that was sent longer ago (PROTOCOL, workers). */
const RESPONSE_TIMEOUT_MS: Duration = 4000;

/** Logged reason of a stop that is sent in response to a heartbeat that is not counted. */
const JOB_NOT_LIVE_REASON = 'job not live';

/** Creates start, stop and forget commands. No other code starts tasks (docs/safety.md, Starts). */
export class WorkerCommands {
  /** For each resource, the least amount that a task of any live job needs. */
  private minTaskResources: Resources = NO_RESOURCES;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermView,
    private readonly authority: Authority,
    private readonly invariants: BindingInvariants,
  ) {}

  /** Recomputes, for each resource, the least amount that a task of any live job needs. */
  updateMinTaskResources(): void {
    const needed = [...this.term.jobs.values()].map((job) => resourcesOf(job.spec));
    this.minTaskResources = needed.length > 0 ? needed.reduce(minResources) : NO_RESOURCES;
  }

  /**
   * True if a response to the machine's newest heartbeat would now carry a start or a stop; also
   * true for an unknown machine. Changes no state.
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
   * How long a response without commands may be held open, in ms. Zero for a machine that is being
   * returned, is about to be preempted, or has too little free capacity for any task: it can
   * receive no start, and its next heartbeat, which may show the end of a task, should not be
   * delayed.
   */
  longPollTimeoutOf(machineId: string, type: MachineType): Duration {
    const machine = this.term.machines.get(machineId);
    if (!machine || machine.registration.isReturning) return 0;
    if (machine.heartbeats.preemptionDeadline !== null) return 0;
    return fits(this.minTaskResources, machine.free(type))
      ? this.runtime.operator.window.longPollTimeout
      : 0;
  }

  /**
   * Returns the commands for the response to the machine's newest heartbeat, as far as they fit into
   * one: the others are left to the next response. The response must be sent immediately, since the
   * started tasks count as dispatched from now on. Empty for an unknown machine. Null if the stops
   * of ended jobs do not all fit: a response that renews the lease must carry all of them.
   */
  dispatchCommands(machineId: string): WorkerCommand[] | null {
    const machine = this.term.machines.get(machineId);
    if (!machine) return [];
    const budget = new CommandBudget();
    const stops = this.stopsFor(machine, budget);
    if (!stops) return null;
    const forgets = this.forgetsFor(machine).filter((command) => budget.take(command));
    return [...forgets, ...stops, ...this.dispatchStarts(machine, budget)];
  }

  /**
   * Returns stop commands for the response to a heartbeat that is not counted, because it is late
   * or carries another fencing token. The response still renews the worker's lease, so it must
   * stop all tasks of ended jobs; null if their stops do not fit into one response.
   */
  stopsForEndedJobs(machine: string, tasks: TaskStatus[]): WorkerCommand[] | null {
    const budget = new CommandBudget();
    const ended = tasks.filter(
      ({ task, state }) => state !== 'exited' && this.authority.mayStop(jobOf(task)),
    );
    const stops = ended.map(({ task, attempt }) => stopAtOnce(task, attempt));
    if (!stops.every((stop) => budget.take(stop))) return this.countExcess(machine);
    for (const { task, attempt } of stops) {
      this.runtime.stats.count('stops.uncounted');
      const fields = { task, attempt, machine, reason: JOB_NOT_LIVE_REASON };
      this.runtime.log('debug', fields, 'stop dispatched');
    }
    return stops;
  }

  /**
   * Forgets exited tasks. An attempt is kept while a copy of its start might arrive, since a worker
   * that has forgotten it would start it again: for a lease, or if the machine's heartbeat has little
   * room left, for as long as a worker takes a response.
   */
  private forgetsFor(machine: Machine): WorkerCommand[] {
    const lifetime = machine.isHeartbeatCrowded ? RESPONSE_TIMEOUT_MS : this.startLifetime;
    const { now } = this.runtime;
    return machine.heartbeats.exitedTasks
      .filter(({ task, attempt, reason }) => {
        const mayStartAgain = machine.sentStarts.mayArriveAgain(task, attempt, lifetime, now);
        return !mayStartAgain && this.mayForget(task, reason);
      })
      .map(({ task, attempt }) => ({ op: 'forget', task, attempt }));
  }

  /** Stops that fit, those of ended jobs first; null if these do not all fit. */
  private stopsFor(machine: Machine, budget: CommandBudget): WorkerCommand[] | null {
    const ofEndedJobs: WorkerCommand[] = [];
    const others: WorkerCommand[] = [];
    for (const binding of machine.bindings.values()) {
      if (!binding.isAssigned) this.invariants.checkRenewal(binding);
      const stop = this.stopCommandFor(binding);
      if (stop) (this.authority.mayStop(binding.job) ? ofEndedJobs : others).push(stop);
    }
    if (!ofEndedJobs.every((stop) => budget.take(stop))) return this.countExcess(machine.id);
    return [...ofEndedJobs, ...others.filter((stop) => budget.take(stop))];
  }

  /** Records that the stops of ended jobs exceed one response, so that none is sent. */
  private countExcess(machine: string): null {
    this.runtime.stats.count('reports.unanswered.stops_too_long');
    this.runtime.log('info', { machine }, 'stops exceed an answer');
    return null;
  }

  private dispatchStarts(machine: Machine, budget: CommandBudget): WorkerCommand[] {
    const assigned = [...machine.bindings.values()].filter(({ isAssigned }) => isAssigned);
    if (assigned.length === 0) return [];
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
    for (const binding of assigned) {
      if (this.invariants.forbidsStart(binding)) continue;
      const { task, attempt } = binding;
      if (!budget.take({ op: 'start', task, attempt })) break;
      starts.push(this.dispatchStart(machine, binding, decision.evidence));
    }
    return starts;
  }

  private dispatchStart(machine: Machine, binding: Binding, evidence: Evidence): WorkerCommand {
    binding.dispatch(machine.heartbeats.sequenceNumber);
    const { task, attempt } = binding;
    machine.sentStarts.record(task, attempt, this.startLifetime, this.runtime.now);
    machine.recordStartDispatched(binding, this.runtime.now);
    this.runtime.stats.record('starts.booked_to_sent_ms', this.runtime.now - binding.assignedAt);
    this.runtime.log(
      'debug',
      {
        task,
        attempt,
        machine: machine.id,
        ...evidenceFields(evidence),
      },
      'start dispatched',
    );
    return { op: 'start', task, attempt };
  }

  /** Null if no stop is to be sent now; a task that is saving its state keeps its grace period. */
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

  /**
   * Whether the worker may forget an exited task. A done task of a live job may be forgotten once
   * the state service has stored that it is done, any other task immediately.
   */
  private mayForget(task: string, reason: TaskStatus['reason']): boolean {
    const parsed = splitTaskId(task);
    const job = parsed ? this.term.jobs.get(parsed.job) : undefined;
    if (!job || !parsed || reason !== 'done') return true;
    return job.progress.isCommitted(parsed.index);
  }

  /** How long after a start was sent copies of it are expected at the most. */
  private get startLifetime(): Duration {
    return this.runtime.settings.workerLeaseDuration + RESPONSE_TIMEOUT_MS;
  }

  private mayStart(machine: Machine): boolean {
    return this.authority.start(machine.registration).granted;
  }
}

const stopAtOnce = (task: string, attempt: number): WorkerCommand => ({
  op: 'stop',
  task,
  attempt,
  gracePeriod: 0,
});

/** Job identifier of a task; the task identifier itself if it cannot be parsed. */
const jobOf = (task: string): string => splitTaskId(task)?.job ?? task;
