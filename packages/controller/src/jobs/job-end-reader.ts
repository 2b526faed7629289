/** Reads from the state service how jobs ended. */
import type { Duration } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { endedKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readEnded, type EndedValue } from '../state/stored-values.js';

const READ_RETRY_MS: Duration = 400;
/** A new term may request hundreds of ends, and has other state to read at the same time. */
const MAX_CONCURRENT_READ_COUNT = 12;

/** How and when a job ended, as read from its ended key or as committed by this leader. */
export interface JobEnd extends Pick<EndedValue, 'state' | 'at'> {
  /** Revision of the commit that wrote the ended key. */
  revision: number;
}

/** Decides which reads are still needed, and receives their results. */
interface JobEndConsumer {
  /** True once all reading must stop. */
  readonly isClosed: boolean;
  /** True if the job is known to be live, so that it has no ended key to read. */
  isLive(id: string): boolean;
  /** True while some job waits for the end of this one. */
  needsEnd(id: string): boolean;
  onEndRead(id: string, end: JobEnd): void;
}

/** Reads ended keys in the order of the requests, a few at a time. Failed reads are repeated. */
export class JobEndReader {
  private readonly queue = new Set<string>();
  private runningReadCount = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly consumer: JobEndConsumer,
  ) {}

  /** Queues a read of the job's ended key. No effect while one is queued for it already. */
  request(id: string): void {
    this.queue.add(id);
    this.startReads();
  }

  private startReads(): void {
    for (const id of this.queue) {
      if (this.runningReadCount >= MAX_CONCURRENT_READ_COUNT || this.consumer.isClosed) return;
      this.queue.delete(id);
      this.runningReadCount++;
      this.read(id);
    }
  }

  private read(id: string): void {
    this.state.getValue(endedKey(id), readEnded, PRIORITY.leader, (result) => {
      this.runningReadCount--;
      if (result.kind === 'found') this.consumer.onEndRead(id, endOf(result));
      // Neither live here nor ended: the job was accepted, but its watch event has not arrived yet.
      else if (result.kind === 'failed' || !this.consumer.isLive(id)) this.retry(id);
      this.startReads();
    });
  }

  private retry(id: string): void {
    this.runtime.after(READ_RETRY_MS, () => {
      if (!this.consumer.isClosed && this.consumer.needsEnd(id)) this.request(id);
    });
  }
}

/** The end that an ended key holds, with the revision of the commit that wrote it. */
export function endOf({ value, version }: { value: EndedValue; version: number }): JobEnd {
  return { state: value.state, at: value.at, revision: version };
}
