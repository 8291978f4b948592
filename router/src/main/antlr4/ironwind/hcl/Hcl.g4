/** The part of HCL that our files use: attributes, blocks with labels, literals, lists. No expressions. */
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

COMMENT : ('#' | '//') ~[\r\n]* -> skip ;
REMARK : '/*' .*? '*/' -> skip ;
SPACE : [ \t\r\n]+ -> skip ;
