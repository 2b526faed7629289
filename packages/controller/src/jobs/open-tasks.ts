/** The waiting tasks of a job, of which a limited number have an open volunteer window. */
import type { Instant } from '@tealdock/wire';

/**
 * A task whose volunteer window is open: before it is placed it waits for volunteers, that is
 * candidate machines, for at most λ (`window.lambda`).
 */
export interface OpenTask {
  readonly index: number;
  /** Reset when the window is restarted because no machine fits the task. */
  windowOpenedAt: Instant;
}

/** Limit on the open windows of a job other than a gang; a task without one uses no memory. */
const MAX_OPEN_TASK_COUNT = 256;

/** When and for which tasks windows may be opened. */
interface WindowOptions {
  readonly now: Instant;
  /** A gang is placed as a whole, so all its windows are open at the same time. */
  readonly isGang: boolean;
  /** False for a task that is done or bound to a machine. */
  readonly isWaiting: (index: number) => boolean;
}

/** Opens windows for tasks in the order of their indices; requeued tasks go first. */
export class OpenTasks {
  private readonly windows = new Map<number, OpenTask>();
  private readonly requeued: number[] = [];
  /** Tasks from this index on have not been considered for a window yet. */
  private nextIndex = 0;

  constructor(private readonly taskCount: number) {}

  /** Number of tasks with an open window. */
  get count(): number {
    return this.windows.size;
  }

  /** Tasks with an open window, in the order in which the windows were opened. */
  list(): OpenTask[] {
    return [...this.windows.values()];
  }

  /** Opens windows for waiting tasks, up to the limit. */
  openWindows({ now, isGang, isWaiting }: WindowOptions): void {
    const limit = isGang ? Infinity : MAX_OPEN_TASK_COUNT;
    while (this.windows.size < limit) {
      const index = this.requeued.pop() ?? this.takeNextIndex();
      if (index === undefined) return;
      if (isWaiting(index)) this.windows.set(index, { index, windowOpenedAt: now });
    }
  }

  /** Closes the window of a task that is done or bound to a machine; no effect without one. */
  close(index: number): void {
    this.windows.delete(index);
  }

  /** Queues a task that lost its machine; it gets a window before tasks that never had one. */
  requeue(index: number): void {
    this.requeued.push(index);
  }

  private takeNextIndex(): number | undefined {
    return this.nextIndex < this.taskCount ? this.nextIndex++ : undefined;
  }
}
