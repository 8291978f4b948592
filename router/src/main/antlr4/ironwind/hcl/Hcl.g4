/**
 * The subset of HCL that settings files use: attributes, blocks with labels, literals and lists,
 * but no expressions.
 */
grammar Hcl;

file : item* EOF ;

item : attribute | block ;

attribute : NAME '=' value ;

block : NAME label* '{' item* '}' ;

label : STRING | NAME ;

value : STRING | NUMBER | BOOL | list ;

list : '[' (value (',' value)* ','?)? ']' ;

BOOL : 'true' | 'false' ;
NAME : [A-Za-z_] [A-Za-z0-9_-]* ;
NUMBER : '-'? [0-9]+ ('.' [0-9]+)? ([eE] [+-]? [0-9]+)? ;
STRING : '"' (~["\\\r\n] | '\\' [nrt"\\])* '"' ;

LINE_COMMENT : ('#' | '//') ~[\r\n]* -> skip ;
BLOCK_COMMENT : '/*' .*? '*/' -> skip ;
WHITESPACE : [ \t\r\n]+ -> skip ;
