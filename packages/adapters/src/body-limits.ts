/** Which request bodies the public HTTP server takes. */
import { HEARTBEAT_PATH, MAX_BODY_BYTES } from '@tealdock/wire';
import type { Log, Reply, Stats } from '@tealdock/controller';
import { MemoryBudget } from './memory-budget.js';

const BUSY_RETRY_AFTER_MS = 1000;
/**
 * Limit of all bodies that are arriving or whose requests wait for their answer. The reports of
 * 2,000 machines with 64 tasks each take half of it, all held at a time.
 */
const MAX_HELD_BODY_BYTES = 16 * 1024 * 1024;

/** The reply to a request for which there is no memory or no connection left. */
export const BUSY: Reply = {
  status: 503,
  body: { error: 'busy' },
  retryAfter: BUSY_RETRY_AFTER_MS,
};
const BODY_TOO_LONG: Reply = { status: 400, body: { error: 'the body is over 64 KiB' } };

/** A request whose body is arriving, as far as its headers describe it. */
export interface ArrivingRequest {
  path: string;
  /** Address of the client; undefined once its connection is closed. */
  from: string | undefined;
  /** Length of the body in bytes as the headers announce it; undefined if they do not. */
  announcedBytes: string | undefined;
}

/** Refuses bodies over the size limit, and bodies for which there is no memory. */
export class BodyLimits {
  private readonly memory = new MemoryBudget(MAX_HELD_BODY_BYTES);

  constructor(
    private readonly stats: Pick<Stats, 'count'>,
    private readonly log: Log,
  ) {}

  /**
   * Reserves memory for `addedBytes` more of a body that then has `length` bytes. Returns null if
   * they may be kept, otherwise the reply that refuses the request.
   */
  reserve(request: ArrivingRequest, addedBytes: number, length: number): Reply | null {
    if (length > MAX_BODY_BYTES) {
      if (request.path === HEARTBEAT_PATH) this.recordLongHeartbeat(request);
      return this.countRefusal('too_long', BODY_TOO_LONG);
    }
    return this.memory.reserve(addedBytes) ? null : this.countRefusal('no_memory', BUSY);
  }

  /** Releases the memory of a body whose request has been answered. */
  release(byteCount: number): void {
    this.memory.release(byteCount);
  }

  /** Without an answer to its heartbeats, the worker's lease expires and its tasks are killed. */
  private recordLongHeartbeat({ from, announcedBytes }: ArrivingRequest): void {
    this.stats.count('reports.too_long');
    this.log('error', { from, bytes: announcedBytes }, 'heartbeat refused for its size');
  }

  private countRefusal(reason: string, reply: Reply): Reply {
    this.stats.count(`requests.${reason}`);
    return reply;
  }
}
