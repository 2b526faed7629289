/** Keys in the state service (layout: docs/design.md). They are stored, so they can't change. */

const ROOT = 'tealdock/';

/** Held by the leader on a lease: a `LeaderValue`. Its version is the fencing token. */
export const LEADER_KEY = `${ROOT}leader`;
/** Machine types that the cloud last offered, one per key. */
export const CATALOG_PREFIX = `${ROOT}type/`;
/** The last machine id before the first rental; ids after it are rented: an `OwnedValue`. */
export const OWNED_KEY = `${ROOT}owned`;
/** Live jobs: `<job>/spec` is a `LiveValue`; any other key below is stray, to be removed. */
export const LIVE_PREFIX = `${ROOT}live/`;
/** Shards of the machine registry, with a `RegistryEntry` for each machine. */
export const REGISTRY_PREFIX = `${ROOT}roster/`;
/** Grants of delegated lease renewal, one for each member: a `GrantValue`. */
export const GRANT_PREFIX = `${ROOT}keeper/`;
/** Shards of the progress table, which records the completed tasks of live jobs. */
export const PROGRESS_PREFIX = `${ROOT}progress/`;

/** Key of a machine type. */
export const typeKey = (type: string): string => `${CATALOG_PREFIX}${encodeURIComponent(type)}`;

/** Key of an accepted job that has not ended. */
export const specKey = (job: string): string => `${LIVE_PREFIX}${job}/spec`;

/** Key of a job that has ended: an `EndedValue`. It is never removed or changed. */
export const endedKey = (job: string): string => `${ROOT}ended/${job}`;

/** Tasks per entry of the progress table, which has one bit for each, encoded in base64. */
export const CHUNK_TASK_COUNT = 8192;

/** Id of the entry of the progress table for one chunk of a job's tasks. */
export const progressEntry = (job: string, chunk: number): string => `${job}/${chunk}`;

/** Job and chunk of an entry of the progress table. */
export function splitProgressEntry(entry: string): { job: string; chunk: number } {
  const separator = entry.lastIndexOf('/');
  return { job: entry.slice(0, separator), chunk: Number(entry.slice(separator + 1)) };
}

/** Splits a key below the live prefix at the job id; null if nothing follows the id. */
export function splitLiveKey(key: string): { job: string; rest: string } | null {
  const path = key.slice(LIVE_PREFIX.length);
  const separator = path.indexOf('/');
  if (separator < 0) return null;
  return { job: path.slice(0, separator), rest: path.slice(separator + 1) };
}
