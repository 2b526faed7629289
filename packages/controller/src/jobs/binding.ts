/** A binding: one attempt of a task on one machine, from its assignment to its proven end. */
import { maxTaskEntryBytes, type Duration, type Instant } from '@tealdock/wire';
import type { Resources } from '@tealdock/scheduler';
import { observedPhase, type ActiveTaskState, type BindingPhase } from './binding-phase.js';
import type { TaskRequirements } from './task-requirements.js';

/** How and why a task is to be stopped. */
export interface StopRequest {
  /** Time that the task may take to save its state; 0 stops it immediately. */
  gracePeriod: Duration;
  /** For the log. */
  reason: string;
}

/** Identifies an attempt at a task, and its machine. */
interface BindingIdentity {
  readonly task: string;
  readonly job: string;
  /** Index of the task within its job. */
  readonly index: number;
  /** Unique among all attempts at the task, across terms. */
  readonly attempt: number;
  readonly machine: string;
}

/** Keeps sums over bindings up to date; each transition that affects them calls it. */
export interface BindingObserver {
  /** Runs `apply`, which changes the binding's team, resources or stop request. */
  applyUsageChange(binding: Binding, apply: () => void): void;
  /** Called after a heartbeat has shown a new state of the task. */
  onTaskStateChanged(binding: Binding): void;
}

/** Initial values that assigned and adopted bindings have in common. */
interface InitialBinding {
  readonly identity: BindingIdentity;
  readonly requirements: TaskRequirements;
  readonly now: Instant;
  readonly observer: BindingObserver;
}

/** Initial values that differ between assigned and adopted bindings. */
interface Origin {
  phase: BindingPhase;
  stopRequest: StopRequest | null;
  isOrphaned: boolean;
  isProtectedFromPreemption: boolean;
}

/** An attempt at a task on one machine. Only its transition methods change its state. */
export class Binding implements BindingIdentity {
  readonly task: string;
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  readonly image: string | null;
  readonly imageGb: number;
  /** When this term assigned or adopted it. */
  readonly assignedAt: Instant;
  /** True if it must not be stopped in favour of other tasks. */
  readonly isProtectedFromPreemption: boolean;
  private readonly observer: BindingObserver;
  /** The most bytes that this attempt takes in heartbeats, until the worker forgets it. */
  private readonly heartbeatBytes: number;
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
    this.heartbeatBytes = maxTaskEntryBytes(this.task, this.attempt, requirements.entryForm);
    this.currentResources = { ...requirements.resources, heartbeatBytes: this.heartbeatBytes };
    this.assignedAt = initial.now;
    this.observer = initial.observer;
    this.currentPhase = origin.phase;
    this.currentStopRequest = origin.stopRequest;
    this.orphaned = origin.isOrphaned;
    this.isProtectedFromPreemption = origin.isProtectedFromPreemption;
  }

  /** A binding that this term chose; its start has yet to be dispatched. */
  static assigned(initial: InitialBinding, isProtectedFromPreemption: boolean): Binding {
    return new Binding(initial, {
      phase: { kind: 'assigned' },
      stopRequest: null,
      isOrphaned: false,
      isProtectedFromPreemption,
    });
  }

  /**
   * A binding of a task that a heartbeat shows but this term did not assign. If the task is not
   * needed, the binding is orphaned and the task is stopped.
   */
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

  /**
   * True if this term sent the start, so false for an adopted task. Workers number their heartbeats
   * from 1, so 0 stands for none.
   */
  get isDispatchedByThisTerm(): boolean {
    const phase = this.currentPhase;
    return phase.kind !== 'assigned' && (phase.heartbeatNumber ?? 0) > 0;
  }

  /** Empty until the job has been looked up. */
  get team(): string {
    return this.currentTeam;
  }

  /** Nothing but bytes of heartbeats until the job has been looked up. */
  get resources(): Resources {
    return this.currentResources;
  }

  /** Null unless the task is to be stopped. */
  get stopRequest(): StopRequest | null {
    return this.currentStopRequest;
  }

  /** True if this term does not need the task, which only counts as usage until it has ended. */
  get isOrphaned(): boolean {
    return this.orphaned;
  }

  /**
   * Latest time at which the task may still be on its machine. Null unless its job has ended in
   * this term, or was cancelled before it. Infinity once a missed deadline has been reported.
   */
  get terminationDeadline(): Instant | null {
    return this.currentTerminationDeadline;
  }

  /** Records that the start is sent in the response to the heartbeat with this number. */
  dispatch(heartbeatNumber: number): void {
    this.currentPhase = { kind: 'dispatched', heartbeatNumber };
  }

  /** Records the state in which a heartbeat shows the task. */
  observe(taskState: ActiveTaskState, now: Instant): void {
    this.currentPhase = observedPhase(this.currentPhase, taskState, now);
    this.observer.onTaskStateChanged(this);
  }

  /** Requests a stop, which the responses to the machine's heartbeats carry from now on. */
  requestStop(request: StopRequest): void {
    this.observer.applyUsageChange(this, () => (this.currentStopRequest = request));
  }

  /** Marks the task as no longer needed; it counts as usage until it has ended. */
  orphan(): void {
    this.orphaned = true;
  }

  /** Replaces the unknown team and resources, once the job has been looked up. */
  setUsage(team: string, resources: Resources): void {
    this.observer.applyUsageChange(this, () => {
      this.currentTeam = team;
      this.currentResources = { ...resources, heartbeatBytes: this.heartbeatBytes };
    });
  }

  /** Sets the deadline; no effect if there is one already. */
  setTerminationDeadline(deadline: Instant): void {
    this.currentTerminationDeadline ??= deadline;
  }

  /** Records that the missed deadline was reported, so that it is reported only once. */
  markOverdueReported(): void {
    this.currentTerminationDeadline = Infinity;
  }
}

/** Key of a binding among those of its machine. */
export const bindingKey = (task: string, attempt: number): string => `${task}#${attempt}`;
