/**
 * Runs the test files given as arguments, or all test files if none is given, and tolerates only
 * the failures listed in KNOWN-RED.txt.
 */
import { existsSync, readFileSync } from 'node:fs';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { findTestFiles } from './test-run/find-test-files.js';
import { compareWithKnownRed, formatKnownRed, parseKnownRed } from './test-run/known-red.js';

const KNOWN_RED_PATH = 'KNOWN-RED.txt';

const print = (text: string): void => void process.stdout.write(`${text}\n`);

/** Throws `RangeError` if a named file is missing, so that no test is skipped unnoticed. */
function chooseFiles(named: string[]): string[] {
  if (named.length === 0) return findTestFiles();
  const missing = named.filter((file) => !existsSync(file));
  if (missing.length > 0) throw new RangeError(`no such test file: ${missing.join(', ')}`);
  return named;
}

const known = existsSync(KNOWN_RED_PATH) ? parseKnownRed(readFileSync(KNOWN_RED_PATH, 'utf8')) : [];
const passed = new Set<string>();
const failed = new Set<string>();

function reportVerdict(): void {
  const verdict = compareWithKnownRed(known, { passed, failed });
  const { unexpected, expected, notRun, outdated } = verdict;
  for (const red of expected) print(`known red: ${formatKnownRed(red)}`);
  for (const red of notRun) print(`known red, not run: ${formatKnownRed(red)}`);
  for (const red of outdated)
    print(`does not fail, remove it from ${KNOWN_RED_PATH}: ${formatKnownRed(red)}`);
  for (const test of unexpected) print(`failed: ${test}`);
  if (passed.size === 0) print('no test passed');
  const succeeded = unexpected.length === 0 && outdated.length === 0 && passed.size > 0;
  process.exitCode = succeeded ? 0 : 1;
}

const events = run({ files: chooseFiles(process.argv.slice(2)), concurrency: true });
events.on('test:pass', ({ name }) => passed.add(name));
events.on('test:fail', ({ name }) => failed.add(name));
events.compose(tap).on('end', reportVerdict).pipe(process.stdout);
