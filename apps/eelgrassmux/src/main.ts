#!/usr/bin/env node
/** Command line for operators. */
import { Builtins, Cli } from 'clipanion'
import {
  ApplyCommand, DiffCommand, DoctorCommand, HostsCommand, MembersCommand, OrdersCommand, ShowCommand, WatchCommand
} from './lib/commands.js'
import { EvacuateCommand } from './lib/EvacuateCommand.js'
import { QuarantineCommand } from './lib/QuarantineCommand.js'
import { TraceCommand } from './lib/trace/TraceCommand.js'

const cli = new Cli({ binaryName: 'eelgrassmux', binaryLabel: 'Operates eelgrassmux', binaryVersion: '0.1.0' })
const commands = [
  ApplyCommand, DiffCommand, DoctorCommand, EvacuateCommand, HostsCommand, MembersCommand, OrdersCommand, ShowCommand, TraceCommand, QuarantineCommand, WatchCommand,
  Builtins.HelpCommand, Builtins.VersionCommand
]
for (const command of commands) cli.register(command)
await cli.runExit(process.argv.slice(2), Cli.defaultContext)
