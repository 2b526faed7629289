/** Waiting in real time. */
import type { Duration } from '@tealdock/wire';

const CHECK_INTERVAL_MS: Duration = 100;

/** Lets that much time pass. */
export const pause = (duration: Duration): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** Waits until the condition holds; false if it does not within the limit. */
export async function until(condition: () => boolean, limit: Duration): Promise<boolean> {
  const end = performance.now() + limit;
  while (!condition() && performance.now() < end) await pause(CHECK_INTERVAL_MS);
  return condition();
}
