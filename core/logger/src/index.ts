/**
 * Logging in JSON lines, with one child logger per topic.
 * @module
 */
import pino, { type Logger } from 'pino'

export type { Logger } from 'pino'

/**
 * Creates the root logger of a process, which writes synchronously to standard error.
 * @param name - value of the `name` field of each line
 * @param opts - minimum level; `info` by default
 * @returns a pino logger
 */
export function createLogger (name: string, opts: { level?: string } = {}): Logger {
  return pino({ name, level: opts.level ?? 'info' }, pino.destination({ dest: 2, sync: true }))
}

/**
 * Creates a root logger that writes asynchronously to standard output.
 * @param name - value of the `name` field of each line
 * @param opts - minimum level; `info` by default
 * @returns a pino logger, and a function that flushes buffered lines
 */
export function createOutputLogger (name: string, opts: { level?: string } = {}): { logger: Logger, flush: () => void } {
  const destination = pino.destination({ dest: 1, sync: false })
  return { logger: pino({ name, level: opts.level ?? 'info' }, destination), flush: () => destination.flushSync() }
}

/**
 * Creates a child logger for one topic.
 * @param logger - root logger
 * @param topic - stable name of the topic
 * @returns a child logger
 */
export function topicLogger (logger: Logger, topic: string): Logger {
  return logger.child({ topic })
}

/** A logger that writes nothing. */
export const silentLogger: Logger = pino({ level: 'silent' })

/**
 * Creates a logger that keeps the messages of its lines in a list.
 * @param messages - list to which the messages are added
 * @returns a pino logger
 */
export function recordingLogger (messages: string[]): Logger {
  return pino({}, { write: (line: string) => { messages.push((JSON.parse(line) as { msg: string }).msg) } })
}
