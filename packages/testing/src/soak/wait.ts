/** Waiting in real time. */
import type { Duration } from '@tealdock/wire';

const CHECK_INTERVAL_MS: Duration = 100;

/** Resolves after the duration. */
export const sleep = (duration: Duration): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** Waits until the condition holds; returns false if it does not within the limit. */
export async function waitUntil(condition: () => boolean, limit: Duration): Promise<boolean> {
  const end = performance.now() + limit;
  while (!condition() && performance.now() < end) await sleep(CHECK_INTERVAL_MS);
  return condition();
}
