/** Runs the test files that are named, and passes over the failures in KNOWN-RED.txt alone. */
import { existsSync, readFileSync } from 'node:fs';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { judge, parseKnownRed, type KnownRed } from './known-red.js';

const LIST = 'KNOWN-RED.txt';

const known = existsSync(LIST) ? parseKnownRed(readFileSync(LIST, 'utf8')) : [];
const failed = new Set<string>();
let passed = 0;

const show = ({ test, cause, issue }: KnownRed): string => `${test} | ${cause} | ${issue}`;
const print = (text: string): void => void process.stdout.write(`${text}\n`);

function finish(): void {
  const { unexpected, expected, outdated } = judge(known, failed);
  for (const red of expected) print(`known red: ${show(red)}`);
  for (const red of outdated) print(`passes, take it off ${LIST}: ${show(red)}`);
  for (const test of unexpected) print(`failed: ${test}`);
  if (passed === 0) print('no test passed');
  const fine = unexpected.length === 0 && outdated.length === 0 && passed > 0;
  process.exitCode = fine ? 0 : 1;
}

const events = run({ files: process.argv.slice(2), concurrency: true });
events.on('test:pass', () => passed++);
events.on('test:fail', ({ name }) => failed.add(name));
events.compose(tap).on('end', finish).pipe(process.stdout);
