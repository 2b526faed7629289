/** A binding: one attempt of a task on one machine, from its assignment to its proven end. */
import type { Duration, Instant } from '@tealdock/wire';
import type { Resources } from '@tealdock/scheduler';
import { observedPhase, type ActiveTaskState, type BindingPhase } from './binding-phase.js';
import type { TaskRequirements } from './task-requirements.js';

/** How a task is to be stopped, and why. */
export interface StopRequest {
  /** Time that the task may take to save its state; 0 stops it at once. */
  gracePeriod: Duration;
  /** For the log. */
  reason: string;
}

/** Which attempt of which task, and on which machine. */
interface BindingIdentity {
  readonly task: string;
  readonly job: string;
  /** Index of the task within its job. */
  readonly index: number;
  /** Never the same for two attempts at a task, in whichever term. */
  readonly attempt: number;
  readonly machine: string;
}

/** Keeps the sums over bindings up to date; called by each transition that they depend on. */
export interface BindingObserver {
  /** Applies a change of the team, the resources or the stop request of a binding. */
  applyUsageChange(binding: Binding, apply: () => void): void;
  /** A heartbeat has shown a new state of the task. */
  onTaskStateChanged(binding: Binding): void;
}

/** What an assigned and an adopted binding begin with. */
interface InitialBinding {
  readonly identity: BindingIdentity;
  readonly requirements: TaskRequirements;
  readonly now: Instant;
  readonly observer: BindingObserver;
}

/** Fields that differ between assigned and adopted bindings. */
interface Origin {
  phase: BindingPhase;
  stopRequest: StopRequest | null;
  isOrphaned: boolean;
  isProtectedFromPreemption: boolean;
}

/** A task on a machine, or on its way there. Fields change by the transitions only. */
export class Binding implements BindingIdentity {
  readonly task: string;
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  readonly image: string | null;
  readonly imageGb: number;
  /** When it was assigned, or adopted, in this term. */
  readonly assignedAt: Instant;
  /** May not be stopped in favour of other tasks. */
  readonly isProtectedFromPreemption: boolean;
  private readonly observer: BindingObserver;
  private currentPhase: BindingPhase;
  private currentTeam: string;
  private currentResources: Resources;
  private currentStopRequest: StopRequest | null;
  private orphaned: boolean;
  private currentTerminationDeadline: Instant | null = null;

  private constructor(initial: InitialBinding, origin: Origin) {
    const { identity, requirements } = initial;
    this.task = identity.task;
    this.job = identity.job;
    this.index = identity.index;
    this.attempt = identity.attempt;
    this.machine = identity.machine;
    this.image = requirements.image;
    this.imageGb = requirements.imageGb;
    this.currentTeam = requirements.team;
    this.currentResources = requirements.resources;
    this.assignedAt = initial.now;
    this.observer = initial.observer;
    this.currentPhase = origin.phase;
    this.currentStopRequest = origin.stopRequest;
    this.orphaned = origin.isOrphaned;
    this.isProtectedFromPreemption = origin.isProtectedFromPreemption;
  }

  /** A binding that this term decided on; its start has yet to be dispatched. */
  static assigned(initial: InitialBinding, isProtectedFromPreemption: boolean): Binding {
    return new Binding(initial, {
      phase: { kind: 'assigned' },
      stopRequest: null,
      isOrphaned: false,
      isProtectedFromPreemption,
    });
  }

  /** A binding of a task that a heartbeat shows, and that this term has not assigned. */
  static adopted(initial: InitialBinding, taskState: ActiveTaskState, isNeeded: boolean): Binding {
    return new Binding(initial, {
      phase: observedPhase(null, taskState, initial.now),
      stopRequest: isNeeded ? null : { gracePeriod: 0, reason: 'not wanted' },
      isOrphaned: !isNeeded,
      isProtectedFromPreemption: false,
    });
  }

  /** True until the start is dispatched: the worker cannot have the task yet. */
  get isAssigned(): boolean {
    return this.currentPhase.kind === 'assigned';
  }

  /** True from the dispatch of the start until a heartbeat shows the task. */
  get isDispatched(): boolean {
    return this.currentPhase.kind === 'dispatched';
  }

  /** True once a heartbeat has shown the task. */
  get isObserved(): boolean {
    return this.currentPhase.kind === 'observed';
  }

  /** Null until the task is observed. */
  get taskState(): ActiveTaskState | null {
    return this.currentPhase.kind === 'observed' ? this.currentPhase.taskState : null;
  }

  /** When the task was first observed with its image; null before that. */
  get runningSince(): Instant | null {
    return this.currentPhase.kind === 'observed' ? this.currentPhase.runningSince : null;
  }

  /** True while the task may still wait for its image. */
  get mayNeedImageFetch(): boolean {
    return this.taskState === null || this.taskState === 'fetching';
  }

  /** False for an adopted task. Workers number their heartbeats from 1, so 0 is none. */
  get isDispatchedByThisTerm(): boolean {
    const phase = this.currentPhase;
    return phase.kind !== 'assigned' && (phase.heartbeatNumber ?? 0) > 0;
  }

  /** Empty while the job has to be looked up. */
  get team(): string {
    return this.currentTeam;
  }

  /** Nothing while the job has to be looked up. */
  get resources(): Resources {
    return this.currentResources;
  }

  /** Null while the task may run on. */
  get stopRequest(): StopRequest | null {
    return this.currentStopRequest;
  }

  /** This term does not want the task: it is only counted until it is gone. */
  get isOrphaned(): boolean {
    return this.orphaned;
  }

  /**
   * When the task must be gone by the protocol, since its job has ended in this term, in any
   * way, or was cancelled before; else null. Infinity once its lateness has been reported.
   */
  get terminationDeadline(): Instant | null {
    return this.currentTerminationDeadline;
  }

  /** The start leaves in the response to the heartbeat with this number. */
  dispatch(heartbeatNumber: number): void {
    this.currentPhase = { kind: 'dispatched', heartbeatNumber };
  }

  /** A heartbeat shows the task in this state. */
  observe(taskState: ActiveTaskState, now: Instant): void {
    this.currentPhase = observedPhase(this.currentPhase, taskState, now);
    this.observer.onTaskStateChanged(this);
  }

  /** Has the task stopped by the next response to its machine. */
  requestStop(request: StopRequest): void {
    this.observer.applyUsageChange(this, () => (this.currentStopRequest = request));
  }

  /** The task is not wanted any more; it is counted until it is gone. */
  orphan(): void {
    this.orphaned = true;
  }

  /** The job has been looked up: replaces the unknown team and resources. */
  setUsage(team: string, resources: Resources): void {
    this.observer.applyUsageChange(this, () => {
      this.currentTeam = team;
      this.currentResources = resources;
    });
  }

  /** Has no effect if there is a deadline already. */
  setTerminationDeadline(deadline: Instant): void {
    this.currentTerminationDeadline ??= deadline;
  }

  /** The task outlived its deadline, which is reported once. */
  markOverdueReported(): void {
    this.currentTerminationDeadline = Infinity;
  }
}

/** Key of a binding among those of its machine. */
export const bindingKey = (task: string, attempt: number): string => `${task}#${attempt}`;
