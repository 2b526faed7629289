/** Heartbeats whose answer waits for the end of an election. */
import type { Duration, WorkerHeartbeat } from '@tealdock/wire';
import type { HttpRequest } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

/** How long a heartbeat waits; workers give up after 4 s. */
const MAX_WAIT_MS: Duration = 2500;
/** Part of a node's connections that may wait; the others stay free for workers and users. */
const MAX_PARKED_FRACTION = 1 / 2;
/** Heartbeats answered in one batch: a new process takes seconds for a thousand of them. */
const MAX_RESUMED_COUNT = 64;

/** A heartbeat and the request that it came in. */
export interface HeartbeatRequest {
  request: HttpRequest;
  heartbeat: WorkerHeartbeat;
}

/** A queue of heartbeats, each of which leaves it once: resumed, or when its wait is over. */
export class ParkedHeartbeats {
  private readonly byRequest = new Map<number, HeartbeatRequest>();

  constructor(private readonly runtime: Runtime) {}

  get isEmpty(): boolean {
    return this.byRequest.size === 0;
  }

  get isFull(): boolean {
    return this.byRequest.size >= this.runtime.settings.maxConnections * MAX_PARKED_FRACTION;
  }

  /** Adds a heartbeat; `onTimeout` is called unless it has been resumed by then. */
  add(parked: HeartbeatRequest, onTimeout: () => void): void {
    const { id } = parked.request;
    this.byRequest.set(id, parked);
    this.runtime.stats.count('reports.parked');
    this.runtime.after(MAX_WAIT_MS, () => {
      if (this.byRequest.delete(id)) onTimeout();
    });
  }

  /** Passes on the oldest heartbeats; the rest follow in the next batches, which come at once. */
  resume(handle: (resumed: HeartbeatRequest) => void): void {
    const resumed = [...this.byRequest.values()].slice(0, MAX_RESUMED_COUNT);
    for (const parked of resumed) {
      this.byRequest.delete(parked.request.id);
      handle(parked);
    }
    if (!this.isEmpty) this.runtime.after(0, () => undefined);
  }
}
