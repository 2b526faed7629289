/** Heartbeats that are parked until an election has ended. */
import type { Duration, WorkerHeartbeat } from '@tealdock/wire';
import type { HttpRequest } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

/** How long a heartbeat is parked at most; workers give up after 4 s. */
const MAX_WAIT_MS: Duration = 2500;
/** Limit of parked heartbeats as a share of all connections; the rest serve workers and users. */
const MAX_PARKED_FRACTION = 1 / 2;
/** Limit of the tasks in all parked heartbeats, which take most of their memory. */
const MAX_PARKED_TASK_COUNT = 100_000;
/** Heartbeats resumed in one batch: a newly started process takes seconds to answer a thousand. */
const MAX_RESUMED_COUNT = 64;

/** A heartbeat and the request that it came in. */
export interface HeartbeatRequest {
  request: HttpRequest;
  heartbeat: WorkerHeartbeat;
}

/** A queue of heartbeats. Each one leaves it exactly once: it is resumed or it times out. */
export class ParkedHeartbeats {
  private readonly byRequest = new Map<number, HeartbeatRequest>();
  private taskCount = 0;

  constructor(private readonly runtime: Runtime) {}

  get isEmpty(): boolean {
    return this.byRequest.size === 0;
  }

  get isFull(): boolean {
    const maxCount = this.runtime.settings.maxConnections * MAX_PARKED_FRACTION;
    return this.byRequest.size >= maxCount || this.taskCount >= MAX_PARKED_TASK_COUNT;
  }

  /** Adds a heartbeat; `onTimeout` is called if it is not resumed in time. */
  add(parked: HeartbeatRequest, onTimeout: () => void): void {
    const { id } = parked.request;
    this.byRequest.set(id, parked);
    this.taskCount += parked.heartbeat.tasks.length;
    this.runtime.stats.count('reports.parked');
    this.runtime.after(MAX_WAIT_MS, () => {
      if (this.remove(parked)) onTimeout();
    });
  }

  /**
   * Removes the oldest heartbeats and passes them to `handle`. If any are left, a timer that is
   * due immediately makes sure that another batch follows.
   */
  resume(handle: (resumed: HeartbeatRequest) => void): void {
    const resumed = [...this.byRequest.values()].slice(0, MAX_RESUMED_COUNT);
    for (const parked of resumed) {
      this.remove(parked);
      handle(parked);
    }
    if (!this.isEmpty) this.runtime.after(0, () => undefined);
  }
  /** False if it has left the queue already. */
  private remove({ request, heartbeat }: HeartbeatRequest): boolean {
    const wasParked = this.byRequest.delete(request.id);
    if (wasParked) this.taskCount -= heartbeat.tasks.length;
    return wasParked;
  }
}
