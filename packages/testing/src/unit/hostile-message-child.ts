/** Decodes one hostile message, named by the argument, and prints the outcome as JSON. */
import { HOSTILE_MESSAGES } from './hostile-messages.js';
import { HOSTILE_PIECES } from './hostile-pieces.js';

const MICROSECONDS_PER_MS = 1000;

const messages = { ...HOSTILE_MESSAGES, ...HOSTILE_PIECES };
const message = messages[process.argv[2] ?? '']!;
const bytes = message.bytes();
let refusedWith: string | null = null;
const before = process.cpuUsage();
try {
  message.decode(bytes);
} catch (error) {
  refusedWith = (error as Error).constructor.name;
}
const { user, system } = process.cpuUsage(before);
const processorMs = (user + system) / MICROSECONDS_PER_MS;
process.stdout.write(JSON.stringify({ refusedWith, processorMs }));
