/** The tasks of a job that wait for a machine, and the few of them with an open window. */
import type { Instant } from '@tealdock/wire';

/** A task whose volunteer window is open. */
export interface OpenTask {
  readonly index: number;
  /** Put forward when the window starts again, because no machine fits the task. */
  windowOpenedAt: Instant;
}

/** Open windows of one job at a time; a task without one costs no memory. */
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
  /** No window has ever been opened for this task and those after it. */
  private nextIndex = 0;

  constructor(private readonly taskCount: number) {}

  /** Tasks with an open window. */
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

  /** The task is done or bound to a machine. Has no effect if it has no open window. */
  close(index: number): void {
    this.windows.delete(index);
  }

  /** The task lost its machine: it gets a window before those that never had one. */
  requeue(index: number): void {
    this.requeued.push(index);
  }

  private takeNextIndex(): number | undefined {
    return this.nextIndex < this.taskCount ? this.nextIndex++ : undefined;
  }
}
