/** The list of tests that fail for a known fault: `KNOWN-RED.txt` at the root. */

/** More faults than this are to be mended, not listed. */
const MAX_KNOWN_RED = 3;

/** A test that fails for a real fault which has not been mended yet. */
export interface KnownRed {
  test: string;
  cause: string;
  issue: string;
}

/** What the failed tests of a run come to, given those that are known to fail. */
export interface Verdict {
  /** Failed, and on no list. */
  unexpected: string[];
  /** Failed as listed. */
  expected: KnownRed[];
  /** Listed, but did not fail: to be taken off. */
  outdated: KnownRed[];
}

/** Thrown for a list that can not be used. */
export class KnownRedError extends Error {}

/** Reads the list: one line for each test, `test | cause | issue`. */
export function parseKnownRed(text: string): KnownRed[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MAX_KNOWN_RED) {
    throw new KnownRedError(`KNOWN-RED.txt: ${lines.length} lines, at most ${MAX_KNOWN_RED}`);
  }
  return lines.map(parseLine);
}

function parseLine(line: string, index: number): KnownRed {
  const [test, cause, issue, ...more] = line.split('|').map((part) => part.trim());
  if (!test || !cause || !issue || more.length > 0) {
    throw new KnownRedError(`KNOWN-RED.txt line ${index + 1}: must be "test | cause | issue"`);
  }
  return { test, cause, issue };
}

/** Compares what failed with what is known to. */
export function judge(known: KnownRed[], failed: ReadonlySet<string>): Verdict {
  const names = new Set(known.map(({ test }) => test));
  return {
    unexpected: [...failed].filter((test) => !names.has(test)),
    expected: known.filter(({ test }) => failed.has(test)),
    outdated: known.filter(({ test }) => !failed.has(test)),
  };
}
