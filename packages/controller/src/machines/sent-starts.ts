/** Starts that were sent to a machine, and that might reach it once more. */
import type { Duration, Instant } from '@tealdock/wire';
import { bindingKey } from '../jobs/binding.js';

/**
 * When this term sent each start to one machine. A worker that has forgotten an attempt starts it
 * again if the start reaches it once more (PROTOCOL, `POST /hello`), so an attempt is not forgotten
 * as long as copies of its start may arrive. Starts of earlier terms are not recorded: the token of
 * the answer that forgets their attempts makes them invalid.
 */
export class SentStarts {
  /** By `bindingKey`, the oldest first. */
  private readonly sentAt = new Map<string, Instant>();

  /** Records that the start is sent now, and drops those sent more than `maxLifetime` ago. */
  record(task: string, attempt: number, maxLifetime: Duration, now: Instant): void {
    for (const [key, sentAt] of this.sentAt) {
      if (now - sentAt <= maxLifetime) break;
      this.sentAt.delete(key);
    }
    this.sentAt.set(bindingKey(task, attempt), now);
  }

  /** Whether a copy of the start may still arrive, if copies arrive within `lifetime`. */
  mayArriveAgain(task: string, attempt: number, lifetime: Duration, now: Instant): boolean {
    const sentAt = this.sentAt.get(bindingKey(task, attempt)) ?? -Infinity;
    return now - sentAt <= lifetime;
  }
}
