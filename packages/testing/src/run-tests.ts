/**
 * Runs the test files that are named, or all of them if none is named, and passes over the
 * failures in KNOWN-RED.txt alone.
 */
import { existsSync, readFileSync } from 'node:fs';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { findTestFiles } from './test-run/find-test-files.js';
import { compareWithKnownRed, formatKnownRed, parseKnownRed } from './test-run/known-red.js';

const LIST = 'KNOWN-RED.txt';

const print = (text: string): void => void process.stdout.write(`${text}\n`);

/** Throws if a named file is missing, so that no test is passed over unseen. */
function chooseFiles(named: string[]): string[] {
  if (named.length === 0) return findTestFiles();
  const missing = named.filter((file) => !existsSync(file));
  if (missing.length > 0) throw new RangeError(`no such test file: ${missing.join(', ')}`);
  return named;
}

const known = existsSync(LIST) ? parseKnownRed(readFileSync(LIST, 'utf8')) : [];
const failed = new Set<string>();
let passedCount = 0;

function reportVerdict(): void {
  const { unexpected, expected, outdated } = compareWithKnownRed(known, failed);
  for (const red of expected) print(`known red: ${formatKnownRed(red)}`);
  for (const red of outdated) print(`passes, remove it from ${LIST}: ${formatKnownRed(red)}`);
  for (const test of unexpected) print(`failed: ${test}`);
  if (passedCount === 0) print('no test passed');
  const isFine = unexpected.length === 0 && outdated.length === 0 && passedCount > 0;
  process.exitCode = isFine ? 0 : 1;
}

const events = run({ files: chooseFiles(process.argv.slice(2)), concurrency: true });
events.on('test:pass', () => passedCount++);
events.on('test:fail', ({ name }) => failed.add(name));
events.compose(tap).on('end', reportVerdict).pipe(process.stdout);
